use kqr_types::ByteSize;

use crate::{Phase, TaskSpec, job::Job, task::Task};

/// Overhead of the standard library's map and the allocator for one entry.
const MAP_ENTRY_OVERHEAD_BYTES: usize = 288;
/// Overhead of the allocator for one string.
const STRING_OVERHEAD_BYTES: usize = 16;
/// Size of one tombstone: digest and outcome, in B-tree nodes that are two thirds full.
const TOMBSTONE_BYTES: usize = 30;

/// Estimated memory of the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Jobs that have not ended.
    pub live_jobs: usize,
    /// Memory of those jobs.
    pub live_bytes: ByteSize,
    /// Ended jobs whose answers are retained.
    pub retained_jobs: usize,
    /// Memory of those jobs.
    pub retained_bytes: ByteSize,
    /// Dropped jobs and renounced keys whose outcomes are retained.
    pub tombstones: usize,
    /// Memory of those outcomes.
    pub tombstone_bytes: ByteSize,
}

impl StateSize {
    /// Estimates the memory of `count` tombstones.
    pub fn of_tombstones(count: usize) -> ByteSize {
        ByteSize((count * TOMBSTONE_BYTES) as u64)
    }
}

/// Estimates the memory of one job, live or ended, in bytes.
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
