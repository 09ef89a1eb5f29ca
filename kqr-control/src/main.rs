//! The control daemon: voters of the settings log, settings streams and the calls of operators.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use clap::Parser;

fn main() -> eyre::Result<()> {
    let options = kqr_control::Options::parse();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(kqr_control::daemon::run(options))
}
