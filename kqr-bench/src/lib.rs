//! Virtual-time benchmarks that drive the machines of placement and admission against fakes of targets, beside
//! well-known policies on the same arrivals.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod baseline;
mod bound;
mod check;
mod event;
mod fleet;
mod measures;
mod policy;
mod runs;
mod scenario;
mod system;
mod workload;
mod world;

pub use bound::{Bound, Bounds};
pub use check::{Verdict, check};
pub use measures::Measures;
pub use runs::{Comparison, SYSTEM, compare};
pub use scenario::{Classes, Crest, Scenario, Team};
