//! Fault soak: runs programs as separate processes, disturbs them from outside, and checks what must always hold.
//!
//! [`Plan`] draws the faults of a run from a seed. [`Proxy`] and [`Program`] cause them. [`InvariantChecker`] takes what callers,
//! targets and operators see, and tells which promise was broken.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod checker;
mod cluster_size;
mod fault;
mod fault_activity;
mod plan;
mod program;
mod proxy;
mod violation;

pub use checker::{InvariantChecker, JobAnswer, RunEnding};
pub use cluster_size::ClusterSize;
pub use fault::{Fault, LinkFault, TargetFault};
pub use fault_activity::FaultActivity;
pub use plan::{Plan, PlannedFault};
pub use program::Program;
pub use proxy::Proxy;
pub use violation::Violation;
