//! Open-loop load and experiment tool.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod arrivals;
mod caller;
mod check;
mod ended;
mod experiment;
mod job;
mod measure;
mod measures;
mod options;
mod page;
mod plot;
mod quantiles;
mod report;
mod request;
mod run;
mod submit;
mod tally;
mod text;
mod time_text;

pub use arrivals::{Arrival, Work, arrivals};
pub use check::{Payload, Starts, is_whole};
pub use ended::{Ended, Ending, Refusal, RequestPath};
pub use experiment::{CancelWave, Experiment, JobMix, Phase, RequestMix, Resubmit};
pub use options::{Command, Options};
pub use page::to_page;
pub use quantiles::Quantiles;
pub use report::{Broken, Counts, DistributionPoint, PhaseReport, Report, Second};
pub use request::is_echo;
pub use run::run;
pub use tally::Tally;
pub use text::{compare, to_text};
pub use time_text::TimeText;
