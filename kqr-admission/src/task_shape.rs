use kqr_jobs::WaitingTask;
use kqr_types::{ByteSize, ClassName, Instant, JobKey, ServiceName, TeamName};

/// Declared size of a task, and whether it is long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskSize {
    pub cores: u32,
    pub memory: ByteSize,
    pub accelerators: u32,
    /// Whether the class is known to be long. The slots that long work may use are limited separately.
    pub is_long: bool,
}

/// Placement requirements of a task. If one task of a shape finds no slot, no other task of that shape does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskShape {
    pub size: TaskSize,
    pub class: ClassName,
    /// Key of the job if the task was tried before, because it then avoids targets that other tasks may use.
    pub retried_job: Option<JobKey>,
}

/// A waiting task with its queue metadata.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTask {
    pub task: WaitingTask,
    /// Instant at which the task was queued.
    pub queued: Instant,
    /// Expected run time at speed 1, in seconds.
    pub work: f64,
}

/// Position of a waiting task in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuePosition {
    pub service: ServiceName,
    pub team: TeamName,
    pub shape: TaskShape,
    pub number: u64,
}

impl TaskShape {
    /// Returns the shape of `task`.
    pub fn of(task: &WaitingTask, is_long: bool) -> Self {
        Self {
            size: TaskSize {
                cores: task.spec.cores,
                memory: task.spec.memory,
                accelerators: task.spec.accelerators,
                is_long,
            },
            class: task.spec.class.clone(),
            retried_job: (!task.avoid.is_empty()).then(|| task.key.clone()),
        }
    }
}
