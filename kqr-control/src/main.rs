//! Control daemon: a voter of the settings log that serves settings streams and calls of operators.
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
