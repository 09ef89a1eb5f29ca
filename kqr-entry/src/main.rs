//! The entry daemon: HTTP towards callers and targets, routing, jobs and retries.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod callers;
mod clock;
mod daemon;
mod engine;
mod homes;
mod options;
mod queue;
mod sibling_links;
mod sibling_server;
mod starter;
mod targets;

use clap::Parser;

fn main() -> eyre::Result<()> {
    let options = options::Options::parse();
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(daemon::run(options))
}
