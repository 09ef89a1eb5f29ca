//! How instances find each other through the seeds: the control instances, and at the first start the founders.
//!
//! The seeds are any instances that operators may call. Control instances announce themselves to them and to entries
//! that have fallen silent, and all others ask the seeds.

mod client;
mod founding_member;
mod known_controls;
mod known_entries;
mod service;

pub(crate) use client::{announce, announce_periodically, find_founders};
pub(crate) use founding_member::FoundingMember;
pub(crate) use known_controls::KnownControls;
pub(crate) use known_entries::KnownEntries;
pub(crate) use service::{DiscoveryService, serve};

use std::net::SocketAddr;

/// Offset of the discovery port from the first port of an instance. It is the same for entries and control instances,
/// because a seed may be either.
pub(crate) const PORT_OFFSET: u16 = 3;

/// Returns the addresses at which the seeds serve discovery.
pub(crate) fn seed_addresses(seeds: &[SocketAddr], first_port: u16) -> Vec<SocketAddr> {
    let seeds = seeds.iter();
    seeds
        .map(|seed| SocketAddr::new(seed.ip(), first_port + PORT_OFFSET))
        .collect()
}
