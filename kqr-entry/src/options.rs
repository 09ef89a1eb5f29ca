use std::path::PathBuf;

use clap::Parser;
use kqr_types::InstanceId;

/// The entry daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-entry", version)]
pub struct Options {
    /// Bootstrap file that lists the instances of the system.
    #[arg(long)]
    pub config: PathBuf,
    /// Identity of this instance in the bootstrap file.
    #[arg(long)]
    pub instance: InstanceId,
    /// File to which timeline events are written.
    #[arg(long)]
    pub events: Option<PathBuf>,
    /// Time after SIGTERM during which callers are still accepted while the readiness check fails.
    #[arg(long, default_value = "1s")]
    pub drain_delay: humantime::Duration,
    /// Longest time after the drain delay for accepted work to end.
    #[arg(long, default_value = "30s")]
    pub grace: humantime::Duration,
    /// Time after the loss of a data centre's records during which unknown keys are refused as may-have-run.
    /// 0s is safe only for the first start of a new data centre.
    #[arg(long, default_value = "60s")]
    pub cold_start_window: humantime::Duration,
    /// Time for which the outcome of an ended job is retained. A key that is submitted again after it counts
    /// as new. Each retained outcome takes about 32 bytes at each of up to three entries.
    #[arg(long, default_value = "24h")]
    pub outcome_retention: humantime::Duration,
    /// Silence after which another entry is suspected. Leases last twice as long, and a failed home is
    /// replaced after about three times as long. All entries must have the same value; a network with delays
    /// over 50 ms needs a longer one.
    #[arg(long, default_value = "500ms")]
    pub suspicion: humantime::Duration,
    /// Lowest severity that is logged.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}
