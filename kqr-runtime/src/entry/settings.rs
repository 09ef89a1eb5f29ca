use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use eyre::ensure;
use kqr_types::{DataCentre, InstanceId};
use serde::Deserialize;

use crate::discovery;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EntrySettings {
    /// Identity of the entry.
    pub name: InstanceId,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Address at which others reach the entry.
    pub address: IpAddr,
    /// Address on which the listeners of the three ports are bound, if it differs from `address`, as behind a
    /// NAT router.
    pub bind_address: Option<IpAddr>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators and targets, as at control instances.
    pub operators: SocketAddr,
    /// Address of the listener for readiness probes: whether the entry accepts new callers.
    pub readiness: SocketAddr,
    /// First of four consecutive ports: for other instances, for reports of targets, for metrics, and for
    /// discovery. All instances use the same ports.
    pub first_port: u16,
    /// Addresses of some instances that take calls of operators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system is started for the first time.
    pub is_founding: bool,
    /// Maximum lease that targets grant, in milliseconds.
    pub max_lease_ms: u64,
    /// Time from SIGTERM to the end of the process, in seconds.
    pub grace_s: f64,
    /// Share of a core that the process may use. Targets are assigned in proportion to it.
    pub cpu_share: f64,
}

impl EntrySettings {
    /// Checks the settings for consistency.
    ///
    /// # Errors
    ///
    /// Fails with the first inconsistency.
    pub fn check(&self) -> eyre::Result<()> {
        ensure!(!self.seeds.is_empty(), "seeds: at least one instance is required");
        ensure!(
            self.first_port <= u16::MAX - discovery::PORT_OFFSET,
            "first_port: must leave room for three more ports"
        );
        ensure!(
            self.max_lease_ms >= 100,
            "max_lease_ms: must be at least 100, for several polls per lease"
        );
        ensure!(self.grace_s > 0.0, "grace_s: must be more than 0");
        ensure!(self.cpu_share > 0.0, "cpu_share: must be more than 0");
        Ok(())
    }

    /// Returns the address at which siblings reach this entry.
    pub const fn sibling_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port)
    }

    /// Returns the address at which targets reach this entry for their reports.
    pub const fn report_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port + 1)
    }

    /// Returns the address on which to listen for requests of metrics.
    pub fn metrics_listen_address(&self) -> SocketAddr {
        self.listen_address(SocketAddr::new(self.address, self.first_port + 2))
    }

    /// Returns the address on which to listen for connections to `address`, at which others reach this entry.
    pub fn listen_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_address.unwrap_or(address.ip()), address.port())
    }

    /// Returns the time from SIGTERM to the end of the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the weight of the entry in the assignment of targets, in thousandths of a core.
    pub fn weight(&self) -> u32 {
        (self.cpu_share * 1000.0).max(1.0) as u32
    }

    /// Returns the address at which other instances reach this one for discovery.
    pub const fn discovery_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port + discovery::PORT_OFFSET)
    }

    /// Returns the addresses at which the seeds serve discovery.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        discovery::seed_addresses(&self.seeds, self.first_port)
    }
}
