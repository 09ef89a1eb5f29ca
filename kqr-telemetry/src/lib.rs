//! Structured logs, timeline events and metrics.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bounded_output;
mod decision;
mod event;
mod event_log;
mod event_writer;
mod gauge_metric;
mod hybrid_clock;
mod hybrid_time;
mod labels;
mod logging;
mod metrics;
mod rotating_file;

pub use bounded_output::{BoundedOutput, dropped_log_lines};
pub use decision::log_decision;
pub use event::{Event, EventKind};
pub use event_log::EventLog;
pub use gauge_metric::GaugeMetric;
pub use hybrid_clock::HybridClock;
pub use hybrid_time::HybridTime;
pub use labels::{AnswerClass, RackPlace, TaskLength, WastedMessage, WorkKind};
pub use logging::{init_bounded_logging, init_logging};
pub use metrics::Metrics;
pub use rotating_file::RotationOptions;
