//! Small specifications whose states are made of the project's own machines, searched breadth first.
//!
//! A [`Model`] names its initial state, its steps and its invariants; [`search`] visits each reachable state and
//! returns the shortest trace to a violation.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod agreement;
pub mod cell;
mod search;
pub mod start_once;

pub use search::{Model, Step, Verdict, search};
