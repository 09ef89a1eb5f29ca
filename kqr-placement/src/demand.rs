use kqr_types::{ByteSize, ClassName, TargetId};

/// Requirements that a task or a request places on a target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Number of CPU cores.
    pub cores: u32,
    /// Memory size.
    pub memory: ByteSize,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Class of tasks with similar run times, if known.
    pub class: Option<&'a ClassName>,
    /// Targets that must not be picked.
    pub avoid: &'a [TargetId],
    /// Number of tasks waiting for a slot, or `None` if the task must not wait for a faster slot.
    pub waiting_tasks: Option<u32>,
    /// Whether the work is long-running. Long work is placed on the slowest free target and may occupy only a
    /// bounded fraction of the slots.
    pub is_long: bool,
    /// Arbitrary number; different values spread work over equally fast targets.
    pub spread_seed: u32,
}

impl<'a> Demand<'a> {
    /// Returns the demand of a request that declares no size and accepts any free slot.
    pub fn request(avoid: &'a [TargetId], spread_seed: u32) -> Self {
        Self {
            cores: 0,
            memory: ByteSize(0),
            accelerators: 0,
            class: None,
            avoid,
            waiting_tasks: None,
            is_long: false,
            spread_seed,
        }
    }
}
