use kqr_jobs::WaitingTask;
use kqr_types::{ByteSize, ClassName, Instant, JobKey, ServiceName, TeamName};

/// Declared size of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Size {
    pub cores: u32,
    pub memory: ByteSize,
    pub accelerators: u32,
    /// Whether the class is known to run long; long work has slots of its own.
    pub is_long: bool,
}

/// Tasks that can stand in for each other: if one finds no slot, none does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lane {
    pub size: Size,
    pub class: ClassName,
    /// Key of the job if the task was tried before: it avoids targets that others may use.
    pub tried: Option<JobKey>,
}

/// A waiting task with what the queue knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub task: WaitingTask,
    pub pushed: Instant,
    /// Expected run time at speed 1, in seconds.
    pub work: f64,
}

/// Place of a waiting task in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub service: ServiceName,
    pub team: TeamName,
    pub lane: Lane,
    pub number: u64,
}

impl Lane {
    /// Returns the lane of `task`.
    pub fn of(task: &WaitingTask, is_long: bool) -> Self {
        Self {
            size: Size {
                cores: task.spec.cores,
                memory: task.spec.memory,
                accelerators: task.spec.accelerators,
                is_long,
            },
            class: task.spec.class.clone(),
            tried: (!task.avoid.is_empty()).then(|| task.key.clone()),
        }
    }
}
