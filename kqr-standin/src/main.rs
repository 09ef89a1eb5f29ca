//! The stand-in for a runner or a worker: it announces itself, runs tasks by waiting, and counts each start.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod announcer;
mod api;
mod attempts;
mod behaviour;
mod options;

use std::sync::Arc;

use clap::Parser;
use eyre::WrapErr;
use tokio::{net::TcpListener, signal::unix::SignalKind};
use tokio_util::sync::CancellationToken;

use crate::{api::Standin, options::Options};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = Options::parse();
    kqr_telemetry::init_logging(&options.id.as_str().parse()?, options.log_level)?;
    let listener = TcpListener::bind(options.listen)
        .await
        .wrap_err_with(|| format!("listening on {}", options.listen))?;
    let address = listener.local_addr().wrap_err("reading the own address")?;
    let standin = Arc::new(Standin::new(options, address));
    let shutdown = CancellationToken::new();
    let announcer = tokio::spawn(announcer::run(Arc::clone(&standin), shutdown.clone()));
    let served = {
        let standin = Arc::clone(&standin);
        let handler = move |req, _peer| {
            let standin = Arc::clone(&standin);
            async move { api::handle(standin, req).await }
        };
        tokio::spawn(kqr_http::serve(
            listener,
            kqr_http::ServerOptions::default(),
            shutdown.clone(),
            handler,
        ))
    };
    let mut terminate =
        tokio::signal::unix::signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    shutdown.cancel();
    let _ = announcer.await;
    let _ = served.await;
    Ok(())
}
