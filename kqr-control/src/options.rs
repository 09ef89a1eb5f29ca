use std::path::PathBuf;

use clap::Parser;
use kqr_types::InstanceId;

/// The control daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-control", version)]
pub struct Options {
    /// Bootstrap file with the instances of the system.
    #[arg(long)]
    pub config: PathBuf,
    /// Identity of this instance in the bootstrap file.
    #[arg(long)]
    pub instance: InstanceId,
    /// Folder that stores the durable state.
    #[arg(long)]
    pub data: PathBuf,
    /// Founds a new system if the data folder is empty. Must not be given to an instance that lost its disk.
    #[arg(long)]
    pub found: bool,
    /// Starts with an empty data folder as an instance that is to be added to the voters, also after the loss
    /// of a disk.
    #[arg(long, conflicts_with = "found")]
    pub join: bool,
    /// File to which the events of the time line are written.
    #[arg(long)]
    pub events: Option<PathBuf>,
    /// Minimum severity of log lines.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}
