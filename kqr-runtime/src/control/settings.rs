use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use eyre::ensure;
use kqr_types::{InstanceId, ParseError};
use serde::Deserialize;

use crate::discovery;

/// Settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ControlSettings {
    /// Name of the instance in logs.
    pub name: InstanceId,
    /// Address at which others reach the instance.
    pub address: IpAddr,
    /// Address on which the listeners for other instances and for metrics are bound, if it differs from
    /// `address`, as behind a NAT router.
    pub bind_address: Option<IpAddr>,
    /// First of four consecutive ports: for other instances, for metrics, unused, and for discovery. All
    /// instances use the same ports.
    pub first_port: u16,
    /// Address of the listener for operators and targets.
    pub operators: SocketAddr,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// Addresses of some instances that take calls of operators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system is started for the first time. Must not be set after a disk was lost.
    pub is_founding: bool,
    /// Number of control instances that may lose their disks at the same time.
    pub lost_disks: usize,
}

impl ControlSettings {
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
        Ok(())
    }

    /// Returns the address on which to listen for other instances.
    pub fn fleet_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip(), self.first_port)
    }

    /// Returns the address on which to listen for requests of metrics.
    pub fn metrics_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip(), self.first_port + 1)
    }

    /// Returns the identity of this instance: the address and port at which other instances reach it.
    ///
    /// # Errors
    ///
    /// Never fails for a valid address.
    pub fn instance_id(&self) -> Result<InstanceId, ParseError> {
        SocketAddr::new(self.address, self.first_port).to_string().parse()
    }

    /// Returns the address on which to listen for discovery.
    pub fn discovery_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip(), self.first_port + discovery::PORT_OFFSET)
    }

    /// Returns the address at which other instances reach this one for discovery.
    pub const fn discovery_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.first_port + discovery::PORT_OFFSET)
    }

    /// Returns the addresses at which the seeds serve discovery.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        discovery::seed_addresses(&self.seeds, self.first_port)
    }

    fn listen_ip(&self) -> IpAddr {
        self.bind_address.unwrap_or(self.address)
    }

    /// Returns the intended number of voters, which keeps a majority when `lost_disks` of them lose their
    /// disks.
    pub const fn voter_count(&self) -> usize {
        2 * self.lost_disks + 1
    }
}
