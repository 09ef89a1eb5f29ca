//! Fault injection into programs that run as separate processes, and checks of the invariants that must hold.
//!
//! [`Plan`] draws the faults of a run from a seed. [`Proxy`] and [`Program`] inject them.
//! [`InvariantChecker`] records what callers, targets and operators observe, and reports violations.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod checker;
mod cluster_size;
mod fault;
mod fault_activity;
mod plan;
mod plan_options;
mod program;
mod proxy;
mod violation;

pub use checker::{InvariantChecker, JobAnswer, RunEnding};
pub use cluster_size::ClusterSize;
pub use fault::{Fault, LinkFault, TargetFault};
pub use fault_activity::FaultActivity;
pub use plan::{Plan, PlannedFault, SUCCESSOR_DELAY};
pub use plan_options::PlanOptions;
pub use program::Program;
pub use proxy::Proxy;
pub use violation::Violation;
