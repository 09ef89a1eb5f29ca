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
    /// Least severity that is logged.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}
