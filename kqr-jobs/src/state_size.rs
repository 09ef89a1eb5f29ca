use kqr_types::ByteSize;

use crate::{Phase, TaskSpec, job::Job, task::Task};

/// Bytes that a map of the standard library and the allocator add to an entry.
const MAP_ENTRY_OVERHEAD_BYTES: usize = 288;
/// Bytes that the allocator adds to a text.
const STRING_OVERHEAD_BYTES: usize = 16;
/// Bytes of one tombstone: digest and outcome, in tree nodes that are two thirds full.
const TOMBSTONE_BYTES: usize = 30;

/// Estimate of the memory that the records take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Jobs that have not ended.
    pub live_jobs: usize,
    /// Memory of those jobs.
    pub live_bytes: ByteSize,
    /// Ended jobs whose answers are kept.
    pub retained_jobs: usize,
    /// Memory of those jobs.
    pub retained_bytes: ByteSize,
    /// Forgotten jobs whose outcomes are kept.
    pub tombstones: usize,
    /// Memory of those outcomes.
    pub tombstone_bytes: ByteSize,
}

impl StateSize {
    /// Returns the memory of `count` tombstones.
    pub fn of_tombstones(count: usize) -> ByteSize {
        ByteSize((count * TOMBSTONE_BYTES) as u64)
    }
}

/// Returns the memory of one job, live or ended.
pub(crate) fn job_bytes(job: &Job) -> u64 {
    let specs: usize = job.submission.tasks.iter().map(spec_bytes).sum();
    let tasks: usize = job.tasks.iter().map(task_bytes).sum();
    let key = job.submission.key.as_str().len();
    (size_of::<Job>() + MAP_ENTRY_OVERHEAD_BYTES + key + specs + tasks) as u64
}

fn spec_bytes(spec: &TaskSpec) -> usize {
    size_of::<TaskSpec>() + spec.payload.len() + STRING_OVERHEAD_BYTES
}

fn task_bytes(task: &Task) -> usize {
    let text = match &task.record.phase {
        Phase::Ended(result) => result.text().len() + STRING_OVERHEAD_BYTES,
        Phase::Waiting | Phase::Intended { .. } => 0,
    };
    size_of::<Task>() + text
}
