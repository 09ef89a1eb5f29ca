//! Merges the events of all processes into one time line.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod filter;
mod gaps;
mod html;
mod options;
mod source;
mod table;
mod timeline;

pub use filter::Filter;
pub use gaps::Gap;
pub use html::to_html;
pub use options::{Format, Options, run};
pub use source::{Source, Torn};
pub use table::to_table;
pub use timeline::Timeline;
