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
    /// Name in logs.
    pub name: InstanceId,
    /// Address of the instance, as others reach it.
    pub address: IpAddr,
    /// Address that the listeners for other instances and for metrics use, if it differs: behind a translating router.
    pub bind_address: Option<IpAddr>,
    /// First of two ports, the same ones everywhere: for other instances, and for metrics.
    pub first_port: u16,
    /// Listener for operators and targets.
    pub operators: SocketAddr,
    /// Folder for the durable state.
    pub data_folder: PathBuf,
    /// Addresses of some control instances.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time; never true after a disk was lost.
    pub is_founding: bool,
    /// Control instances that may lose their disks at the same time.
    pub lost_disks: usize,
}

impl ControlSettings {
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
            self.first_port < u16::MAX,
            "first_port: one more port must follow"
        );
        Ok(())
    }

    /// Returns the listener for other instances.
    pub fn fleet_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.bound(), self.first_port)
    }

    /// Returns the listener for metrics.
    pub fn metrics_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.bound(), self.first_port + 1)
    }

    /// Returns the identity of this instance: the address of its listener for other instances.
    ///
    /// # Errors
    ///
    /// Never fails for a valid address.
    pub fn instance_id(&self) -> Result<InstanceId, ParseError> {
        identity(self.address, self.first_port)
    }

    /// Returns the identities of the seeds.
    ///
    /// # Errors
    ///
    /// Never fails for valid addresses.
    pub fn seed_ids(&self) -> Result<Vec<InstanceId>, ParseError> {
        let seeds = self.seeds.iter();
        seeds.map(|seed| identity(seed.ip(), self.first_port)).collect()
    }

    fn bound(&self) -> IpAddr {
        self.bind_address.unwrap_or(self.address)
    }

    /// Returns the number of voters that is aimed at: enough to lose disks and keep a majority.
    pub const fn voter_count(&self) -> usize {
        2 * self.lost_disks + 1
    }
}

/// Returns the identity of the control instance at `address`.
pub(crate) fn identity(address: IpAddr, port: u16) -> Result<InstanceId, ParseError> {
    SocketAddr::new(address, port).to_string().parse()
}
