//! Merges the events of all processes into one time line.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::io::{ErrorKind, Write};

use clap::Parser;
use eyre::WrapErr;

fn main() -> eyre::Result<()> {
    let options = kqr_timeline::Options::parse();
    let text = kqr_timeline::run(&options)?;
    if let Some(path) = &options.output {
        return std::fs::write(path, text).wrap_err_with(|| format!("writing {}", path.display()));
    }
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).wrap_err("writing the time line"),
        _ => Ok(()),
    }
}
