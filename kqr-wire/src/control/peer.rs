use std::net::SocketAddr;

use kqr_settings::bootstrap::{Bootstrap, Instance};
use kqr_types::{InstanceId, rendezvous_weight};

/// A control instance that the settings can be streamed from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Address on which it listens for other instances.
    pub address: SocketAddr,
}

/// Returns the control instances in the order in which `own` tries them: those of its data centre, then of its region,
/// then the others. The order within each group differs between instances, which distributes the streams.
pub fn rank_control_peers(bootstrap: &Bootstrap, own: &Instance) -> Vec<Peer> {
    let region = bootstrap.region_of(&own.data_centre);
    let mut ranked = Vec::new();
    for control in bootstrap.control_instances() {
        let is_other_data_centre = control.data_centre != own.data_centre;
        let is_other_region = bootstrap.region_of(&control.data_centre) != region;
        let weight = rendezvous_weight(own.id.as_str(), control.id.as_str(), 1);
        ranked.push((is_other_region, is_other_data_centre, weight, control));
    }
    ranked.sort_by_key(|(is_other_region, is_other_data_centre, weight, _)| {
        (*is_other_region, *is_other_data_centre, *weight)
    });
    let mut peers = Vec::with_capacity(ranked.len());
    for (_, _, _, control) in ranked {
        peers.push(Peer {
            id: control.id.clone(),
            address: control.peers,
        });
    }
    peers
}
