use std::time::Duration;

use kqr_types::{ByteSize, TargetId};

/// What a task or a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Number of cores.
    pub cores: u32,
    /// Memory.
    pub memory: ByteSize,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Expected run time on a target of speed 1.
    pub run_time: Duration,
    /// Targets that must not be picked.
    pub avoid: &'a [TargetId],
}
