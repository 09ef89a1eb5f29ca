//! The entry process: bootstrap file, logging and signals.

use eyre::WrapErr;
use kqr_settings::bootstrap::Bootstrap;
use kqr_telemetry::EventLog;
use kqr_tls::TransportSecurity;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{limits::Limits, options::Options, running::Running};

/// Runs an entry until SIGTERM or SIGINT, then finishes accepted work. A second signal ends it at once.
///
/// # Errors
///
/// Fails if the bootstrap file is invalid, a listener can't be opened, or accepted work was aborted.
pub async fn run(options: Options) -> eyre::Result<()> {
    kqr_telemetry::init_logging(&options.instance, options.log_level)?;
    let bootstrap = Bootstrap::read(&options.config)?;
    let own = bootstrap.instance(&options.instance)?.clone();
    let events = match &options.events {
        Some(path) => EventLog::open(own.id.clone(), path)?,
        None => EventLog::disabled(own.id.clone()),
    };
    let limits = Limits {
        drain_delay: options.drain_delay.into(),
        grace: options.grace.into(),
        cold_start_window: options.cold_start_window.into(),
        outcome_retention: options.outcome_retention.into(),
        suspicion: options.suspicion.into(),
    };
    let security = TransportSecurity::from_bootstrap(&bootstrap, &options.config, &own.id)?;
    let running = Running::start(&bootstrap, own, events, limits, security).await?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to install the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("failed to install the SIGINT handler")?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    log::info!("shutting down: finishing accepted work");
    let is_finished = tokio::select! {
        is_finished = running.close() => is_finished,
        () = wait_for_signal(&mut terminate, &mut interrupt) => false,
    };
    if !is_finished {
        eyre::bail!("accepted work was aborted");
    }
    Ok(())
}

/// Waits for either signal.
async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
