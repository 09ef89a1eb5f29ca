//! Limits on clients that follow from the machine.

use kqr_http::{ClientLimits, HEAD_BYTES, MachineCapacity, Service, Share};

const MEGABYTE: u64 = 1_000_000;
/// Largest legal bodies, in bytes.
const JOB_BYTES: usize = 262_144;
const CATALOG_BYTES: usize = 6 << 20;
/// Largest number of ordinary connections: those of the callers of three data centres.
const CALLER_CONNECTIONS: usize = 150;
/// Number of targets that may report to one control instance.
const TARGET_CONNECTIONS: usize = 350;

fn limits(memory_mb: u64, descriptors: u64, service: Service) -> ClientLimits {
    let machine = MachineCapacity {
        memory_bytes: memory_mb * MEGABYTE,
        descriptors,
    };
    ClientLimits::of(machine, service)
}

/// What all shares together may take, in bytes.
fn total(limits: &ClientLimits) -> usize {
    let share = |share| {
        let limits = limits.share(share);
        limits.held_bytes + limits.connections * 2 * HEAD_BYTES
    };
    Share::ALL.into_iter().map(share).sum()
}

/// Machines of deployments, and some between and beyond them.
#[test]
fn limits_fit_the_machine_and_ordinary_clients_meet_none() {
    for (memory_mb, descriptors) in [
        (120, 3_075),
        (160, 4_100),
        (256, 4_096),
        (400, 10_250),
        (4_000, 65_536),
    ] {
        let limits = limits(memory_mb, descriptors, Service::Callers);
        let callers = limits.share(Share::Callers);
        assert!(callers.connections >= 2 * CALLER_CONNECTIONS, "{limits:?}");
        assert!(callers.held_bytes / 4 * 3 >= 10 * JOB_BYTES, "{limits:?}");
        let operators = limits.share(Share::Operators);
        assert!(operators.held_bytes / 4 * 3 >= CATALOG_BYTES, "{limits:?}");
        assert!(
            total(&limits) as u64 <= memory_mb * MEGABYTE * 6 / 10,
            "{limits:?}"
        );
        let connections: usize = Share::ALL
            .into_iter()
            .map(|share| limits.share(share).connections)
            .sum();
        assert!(connections as u64 <= descriptors * 85 / 100, "{limits:?}");
    }
}

#[test]
fn a_control_instance_has_room_for_all_targets() {
    let limits = limits(384, 4_096, Service::Operators);
    let operators = limits.share(Share::Operators);
    assert!(operators.connections >= 3 * TARGET_CONNECTIONS, "{limits:?}");
    assert!(operators.held_bytes / 4 * 3 >= 2 * CATALOG_BYTES, "{limits:?}");
}

/// A value that is too small or too large must leave a program that serves ordinary requests.
#[test]
fn extreme_machines_have_usable_limits() {
    for value in [0, 1, u64::MAX] {
        let machine = MachineCapacity {
            memory_bytes: value,
            descriptors: value,
        };
        for service in [Service::Callers, Service::Operators] {
            let limits = ClientLimits::of(machine, service);
            for share in [Share::Operators, Share::Monitoring] {
                assert!(limits.share(share).connections >= 6, "{limits:?}");
                assert!(limits.share(share).held_bytes >= 500_000, "{limits:?}");
            }
        }
    }
}
