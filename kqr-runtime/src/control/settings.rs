use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use eyre::ensure;
use kqr_types::{InstanceId, ParseError};
use serde::Deserialize;

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
    /// First of two consecutive ports: for other instances, and for metrics. All instances use the same
    /// ports.
    pub first_port: u16,
    /// Address of the listener for operators and targets.
    pub operators: SocketAddr,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// Addresses of some control instances.
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
        ensure!(
            !self.seeds.is_empty(),
            "seeds: at least one control instance is required"
        );
        ensure!(
            self.first_port < u16::MAX,
            "first_port: must leave room for one more port"
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
        control_id(self.address, self.first_port)
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

    fn listen_ip(&self) -> IpAddr {
        self.bind_address.unwrap_or(self.address)
    }

    /// Returns the intended number of voters, which keeps a majority when `lost_disks` of them lose their
    /// disks.
    pub const fn voter_count(&self) -> usize {
        2 * self.lost_disks + 1
    }
}

/// Returns the identity of the control instance at `address` and `port`.
pub(crate) fn control_id(address: IpAddr, port: u16) -> Result<InstanceId, ParseError> {
    SocketAddr::new(address, port).to_string().parse()
}
