use std::net::SocketAddr;

use clap::Parser;
use kqr_types::ServiceName;

/// Open-loop load and experiment tool.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-load", version)]
pub struct Options {
    /// Callers' listeners of entries.
    #[arg(long = "entry", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Listeners of stand-ins, whose starts are checked at the end.
    #[arg(long = "standin")]
    pub standins: Vec<SocketAddr>,
    /// Service that runs the tasks.
    #[arg(long)]
    pub service: ServiceName,
    /// Jobs a second outside the surge.
    #[arg(long, default_value_t = 20.0)]
    pub jobs_per_second: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Jobs a second in the surge, as a multiple of those outside.
    #[arg(long, default_value_t = 3.0)]
    pub surge: f64,
    /// Most tasks of a job.
    #[arg(long, default_value_t = 8)]
    pub max_tasks: u16,
    /// Shortest run time of a task, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub min_run_ms: u64,
    /// Longest run time of a task, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub max_run_ms: u64,
    /// Deadline of each job, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Text before each key, to tell runs apart.
    #[arg(long, default_value = "load")]
    pub key_prefix: String,
}
