use std::time::Duration;

use crate::Share;

/// Memory of a machine in bytes if it is not known.
pub const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// Descriptors of a process if the number is not known.
pub const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Maximum size of a head in bytes: what operators configure, and the blank line and request line around it.
pub const HEAD_BYTES: usize = (16 << 10) + 1024;
/// Memory that a connection may take for its buffers, besides what is counted: twice the largest head, since a buffer doubles
/// its size as it grows.
const CONNECTION_BYTES: u64 = 2 * HEAD_BYTES as u64;
/// Least memory in bytes, below which a machine counts as one with this much.
const MIN_MEMORY_BYTES: u64 = 32_000_000;
/// Least number of descriptors, below which a process counts as one with this many.
const MIN_DESCRIPTORS: u64 = 128;
/// Memory in bytes and number of descriptors beyond which the limits no longer grow.
const MAX_MEMORY_BYTES: u64 = 1 << 40;
const MAX_DESCRIPTORS: u64 = 1 << 20;
/// Least memory for operators and targets in bytes: a catalog of 6 MiB is at most three quarters of it.
const MIN_OPERATOR_BYTES: u64 = 12 << 20;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineCapacity {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Maximum number of descriptors.
    pub descriptors: u64,
}

/// Limits of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of bytes of all unparsed heads and bodies, and of open requests.
    pub held_bytes: usize,
}

/// What a process mainly serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Callers, and also operators and targets.
    Callers,
    /// Operators and targets only.
    Operators,
}

/// Limits of a process on its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    shares: [ShareLimits; 3],
    /// Maximum time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Maximum time without a byte in either direction while no request is being handled.
    pub idle_time: Duration,
}

impl ClientLimits {
    /// Derives the limits from a machine.
    ///
    /// Of the memory, a sixth is for the buffers of callers' connections and an eighth for what callers send; a sixteenth and a
    /// tenth are for operators and targets. The rest is for the work itself.
    pub fn of(machine: MachineCapacity, service: Service) -> Self {
        let memory = machine.memory_bytes.clamp(MIN_MEMORY_BYTES, MAX_MEMORY_BYTES);
        let descriptors = machine.descriptors.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        let limits = |descriptors: u64, buffers: u64, held: u64| ShareLimits {
            connections: saturating_usize(descriptors.min(buffers / CONNECTION_BYTES).max(8)),
            held_bytes: saturating_usize(held),
        };
        let main = limits(descriptors * 6 / 10, memory / 6, memory / 8);
        let (operator_bytes, callers, operators);
        match service {
            Service::Callers => {
                operator_bytes = (memory / 10).max(MIN_OPERATOR_BYTES);
                callers = main;
                operators = limits(descriptors / 5, memory / 16, operator_bytes);
            }
            Service::Operators => {
                operator_bytes = (memory / 8).max(MIN_OPERATOR_BYTES);
                callers = limits(0, 0, 0);
                operators = limits(descriptors * 6 / 10, memory / 6, operator_bytes);
            }
        }
        let monitoring = limits(descriptors / 20, memory / 64, memory / 64);
        Self {
            shares: [callers, operators, monitoring],
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(20),
        }
    }

    /// Returns the limits of a share.
    pub const fn share(&self, share: Share) -> ShareLimits {
        self.shares[share as usize]
    }
}

impl Default for ClientLimits {
    /// Returns the limits of a machine of which nothing is known.
    fn default() -> Self {
        let machine = MachineCapacity {
            memory_bytes: DEFAULT_MEMORY_BYTES,
            descriptors: DEFAULT_DESCRIPTORS,
        };
        Self::of(machine, Service::Callers)
    }
}

fn saturating_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
