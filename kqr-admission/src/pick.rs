use kqr_placement::{Demand, PickFailure, Table};
use kqr_types::{Instant, ServiceName, TargetId};

use crate::{Options, service_queue::Candidate};

/// Takes a slot for the waiting task `candidate`, where `waiting` is the number of waiting tasks of its
/// service.
pub(crate) fn pick(
    now: Instant,
    table: &Table,
    options: &Options,
    service: &ServiceName,
    candidate: &Candidate,
    waiting: u32,
) -> Result<TargetId, PickFailure> {
    let task = &candidate.item.task;
    let may_wait = now.since(candidate.item.queued) < options.max_faster_slot_wait;
    let demand = Demand {
        cores: task.spec.cores,
        memory: task.spec.memory,
        accelerators: task.spec.accelerators,
        class: Some(&task.spec.class),
        avoid: &task.avoid,
        waiting_tasks: may_wait.then_some(waiting),
        is_long: candidate.shape.size.is_long,
        spread_seed: spread_seed(candidate.number),
    };
    let picked = match table.pick(service, options.kind, &demand) {
        // If all suitable targets have been tried before, one of them is tried again.
        Err(PickFailure::AllAvoided) => table.pick(service, options.kind, &Demand { avoid: &[], ..demand }),
        picked => picked,
    };
    let target = picked?;
    Ok(target.announcement.id.clone())
}

/// Returns a seed for `number` by multiplicative hashing, which scatters consecutive numbers.
fn spread_seed(number: u64) -> u32 {
    (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32
}
