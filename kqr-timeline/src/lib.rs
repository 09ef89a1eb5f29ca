//! Merges the events of all processes into one time line.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod concerns;
mod filter;
mod findings;
mod gap;
mod html;
mod merge;
mod numbers;
mod options;
mod placed;
mod select;
mod source;
mod table;
mod timeline;
mod torn;

pub use filter::Filter;
pub use findings::Findings;
pub use gap::Gap;
pub use html::{MAX_DRAWN_EVENTS, to_html};
pub use merge::Merge;
pub use options::{Format, Options, run};
pub use placed::Placed;
pub use select::{Summary, select};
pub use source::{Source, WINDOW_EVENTS};
pub use table::Table;
pub use timeline::Timeline;
pub use torn::Torn;
