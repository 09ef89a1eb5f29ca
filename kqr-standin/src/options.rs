use std::net::SocketAddr;

use clap::Parser;
use kqr_placement::TargetKind;
use kqr_types::{ByteSize, Incarnation, Rack, ServiceName, TargetId};

/// Stand-in for a runner or a worker.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-standin", version)]
pub struct Options {
    /// Identity of the target.
    #[arg(long)]
    pub id: TargetId,
    /// Number of its life; it must grow with each restart.
    #[arg(long, default_value = "1")]
    pub incarnation: Incarnation,
    /// Kind of work that it takes: runner or worker.
    #[arg(long, value_parser = parse_kind, default_value = "worker")]
    pub kind: TargetKind,
    /// Service that it serves.
    #[arg(long)]
    pub service: ServiceName,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Targets' listeners of entries, tried in order.
    #[arg(long = "entry", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Tasks or requests that it runs at the same time.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Connections that it accepts at the same time.
    #[arg(long, default_value_t = 64)]
    pub connections: u32,
    /// Run times are divided by this.
    #[arg(long, default_value_t = 1.0)]
    pub speed: f64,
    /// Rack that it stands in.
    #[arg(long, default_value = "rack-1")]
    pub rack: Rack,
    /// Number of its cores.
    #[arg(long, default_value_t = 16)]
    pub cores: u32,
    /// Size of its memory.
    #[arg(long, default_value = "64GiB")]
    pub memory: ByteSize,
    /// Number of its accelerators.
    #[arg(long, default_value_t = 0)]
    pub accelerators: u32,
    /// Least severity that is logged.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

fn parse_kind(text: &str) -> Result<TargetKind, String> {
    match text {
        "runner" => Ok(TargetKind::Runner),
        "worker" => Ok(TargetKind::Worker),
        _ => Err("expected runner or worker".to_owned()),
    }
}
