//! Specification of the hard promise: no task of a submission starts twice, answers are whole, "not run" is true.

mod agreed;
mod member;
mod model;
mod packet;
mod scenario;
pub mod scenarios;
mod state;
mod target;

pub use model::StartOnce;
pub use scenario::{Budget, Scenario};
pub use state::State;
