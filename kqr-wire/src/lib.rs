//! Messages and services exchanged between callers, targets and the processes of kumquatroad.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod callers;
pub mod control;
pub mod entry_message;
pub mod headers;
pub mod loans;
pub mod siblings;
pub mod targets;
