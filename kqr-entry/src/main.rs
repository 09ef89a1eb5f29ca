//! Runs the entry daemon.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use clap::Parser;

fn main() -> eyre::Result<()> {
    let options = kqr_entry::Options::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(kqr_entry::run(options))
}
