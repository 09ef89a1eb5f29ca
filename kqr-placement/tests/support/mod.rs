//! Announcements and demands for the placement tests.

use kqr_placement::{Announcement, Demand, TargetKind};
use kqr_types::{ByteSize, Incarnation, ServiceName, Slots, TargetId};

/// Returns the service of all test targets.
pub fn service() -> ServiceName {
    "proofs".parse().unwrap()
}

/// Returns the id of test target `number`.
pub fn target_id(number: usize) -> TargetId {
    format!("worker-{number:03}").parse().unwrap()
}

/// Returns the first announcement of test target `number`.
pub fn announcement(number: usize, slots: u32) -> Announcement {
    Announcement {
        id: target_id(number),
        incarnation: Incarnation(1),
        kind: TargetKind::Worker,
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: Slots(slots),
        connections: 64,
        rack: "rack-1".parse().unwrap(),
        cores: 16,
        memory: ByteSize(64 << 30),
        accelerators: 0,
    }
}

/// Returns a demand that every test target satisfies.
pub fn any_demand() -> Demand<'static> {
    Demand::request(&[], 0)
}
