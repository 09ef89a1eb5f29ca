//! Fault soak: runs programs as separate processes, disturbs them from outside, and checks what must always hold.
//!
//! [`Plan`] draws the faults of a run from a seed. [`Proxy`] and [`Program`] cause them. [`Ledger`] takes what callers,
//! targets and operators see, and tells which promise was broken.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod breach;
mod cast;
mod fault;
mod ledger;
mod plan;
mod program;
mod proxy;
mod trouble;

pub use breach::Breach;
pub use cast::Cast;
pub use fault::{Fault, LinkFault, TargetFault};
pub use ledger::{JobAnswer, Ledger, RunEnding};
pub use plan::{Plan, Planned};
pub use program::Program;
pub use proxy::Proxy;
pub use trouble::Trouble;
