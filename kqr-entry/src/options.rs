use std::path::PathBuf;

use clap::Parser;
use kqr_types::InstanceId;

/// The entry daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-entry", version)]
pub struct Options {
    /// Bootstrap file with the instances of the system.
    #[arg(long)]
    pub config: PathBuf,
    /// Identity of this instance in the bootstrap file.
    #[arg(long)]
    pub instance: InstanceId,
    /// File for the events of the time line.
    #[arg(long)]
    pub events: Option<PathBuf>,
    /// Time in which callers are still accepted after SIGTERM while the readiness is off.
    #[arg(long, default_value = "1s")]
    pub drain_delay: humantime::Duration,
    /// Longest time that accepted work may take after that.
    #[arg(long, default_value = "30s")]
    pub grace: humantime::Duration,
    /// Time after the loss of a data centre's records in which each unknown key is refused as may-have-run. 0s is safe
    /// for the first start of a new data centre only.
    #[arg(long, default_value = "60s")]
    pub cold_start_window: humantime::Duration,
    /// How long the outcome of an ended job is remembered. A key that comes back later is taken for a new one. Each
    /// remembered outcome takes about 32 bytes at each of up to three entries.
    #[arg(long, default_value = "24h")]
    pub outcome_retention: humantime::Duration,
    /// Silence after which another entry is suspected. Leases last twice that, and a home that died is replaced after
    /// about three times that. It must be the same at all entries; longer is right where messages take over 50 ms.
    #[arg(long, default_value = "500ms")]
    pub suspicion: humantime::Duration,
    /// Least severity that is logged.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}
