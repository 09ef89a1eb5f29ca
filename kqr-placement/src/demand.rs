use kqr_types::{ByteSize, ClassName, TargetId};

/// What a task or a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Number of cores.
    pub cores: u32,
    /// Memory.
    pub memory: ByteSize,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Class of tasks with similar run times, if it is known.
    pub class: Option<&'a ClassName>,
    /// Targets that must not be picked.
    pub avoid: &'a [TargetId],
    /// Number of tasks that wait for a slot, or `None` if the task must not wait for a faster slot.
    pub waiting_tasks: Option<u32>,
    /// Whether the work is long: it goes to the slowest free target, of whose slots long work gets a bounded part.
    pub is_long: bool,
    /// Any number; different numbers spread work over equally good targets.
    pub spread_seed: u32,
}

impl<'a> Demand<'a> {
    /// Returns the demand of a request without a declared size that starts on any free slot.
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
