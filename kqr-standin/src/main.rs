//! The stand-in for a runner or a worker.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use clap::Parser;
use eyre::WrapErr;
use kqr_standin::{Options, Running};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = Options::parse();
    kqr_telemetry::init_logging(&options.id.as_str().parse()?, options.log_level)?;
    let running = Running::start(options).await?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    running.close().await;
    Ok(())
}
