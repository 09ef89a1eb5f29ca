use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use eyre::ensure;
use kqr_types::{DataCentre, InstanceId, ParseError};
use serde::Deserialize;

use crate::control::control_id;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EntrySettings {
    /// Identity of the entry.
    pub name: InstanceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address of the entry, as others reach it.
    pub address: IpAddr,
    /// Address that the listeners on the three ports use, if it differs: behind a translating router.
    pub bind_address: Option<IpAddr>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the question whether the entry takes new callers.
    pub readiness: SocketAddr,
    /// First of three ports, the same ones everywhere: for other instances, for reports of targets, and for
    /// metrics.
    pub first_port: u16,
    /// Addresses of some control instances.
    pub seeds: Vec<SocketAddr>,
    /// Longest lease that targets grant, in milliseconds.
    pub max_lease_ms: u64,
    /// Time from SIGTERM to the end of the process, in seconds.
    pub grace_s: f64,
    /// Share of a core that the process has; targets are handed out in proportion to it.
    pub cpu_share: f64,
}

impl EntrySettings {
    /// Checks values against each other.
    ///
    /// # Errors
    ///
    /// Fails with the first contradiction.
    pub fn check(&self) -> eyre::Result<()> {
        ensure!(
            !self.seeds.is_empty(),
            "seeds: at least one control instance must be named"
        );
        ensure!(
            self.first_port < u16::MAX - 2,
            "first_port: two more ports must follow"
        );
        ensure!(
            self.max_lease_ms >= 100,
            "max_lease_ms: at least 100 is needed for several polls"
        );
        ensure!(self.grace_s > 0.0, "grace_s: a graceful end needs time");
        ensure!(self.cpu_share > 0.0, "cpu_share: must be more than 0");
        Ok(())
    }

    /// Returns the address at which other instances reach this one.
    pub const fn sibling_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port)
    }

    /// Returns the address for the reports of targets.
    pub const fn report_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port + 1)
    }

    /// Returns the listener for metrics.
    pub fn metrics_listen_address(&self) -> SocketAddr {
        self.listen_address(SocketAddr::new(self.address, self.first_port + 2))
    }

    /// Returns the listener behind an address that others use.
    pub fn listen_address(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind_address.unwrap_or(address.ip()), address.port())
    }

    /// Returns the time from SIGTERM to the end of the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the weight of the entry when targets are handed out: thousandths of a core.
    pub fn weight(&self) -> u32 {
        (self.cpu_share * 1000.0).max(1.0) as u32
    }

    /// Returns the identities of the seeds.
    ///
    /// # Errors
    ///
    /// Never fails for valid addresses.
    pub fn seed_ids(&self) -> Result<Vec<InstanceId>, ParseError> {
        let seeds = self.seeds.iter();
        seeds.map(|seed| control_id(seed.ip(), self.first_port)).collect()
    }
}
