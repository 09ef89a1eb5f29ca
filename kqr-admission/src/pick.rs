use kqr_placement::{Demand, PickFailure, Table};
use kqr_types::{Instant, ServiceName, TargetId};

use crate::{Options, service_queue::Candidate};

/// Takes a slot for a waiting task, while `waiting` tasks of its service wait.
pub(crate) fn pick(
    now: Instant,
    table: &Table,
    options: &Options,
    service: &ServiceName,
    candidate: &Candidate,
    waiting: u32,
) -> Result<TargetId, PickFailure> {
    let task = &candidate.item.task;
    let may_wait = now.since(candidate.item.pushed) < options.max_faster_slot_wait;
    let demand = Demand {
        cores: task.spec.cores,
        memory: task.spec.memory,
        accelerators: task.spec.accelerators,
        class: Some(&task.spec.class),
        avoid: &task.avoid,
        waiting_tasks: may_wait.then_some(waiting),
        is_long: candidate.lane.size.is_long,
        spread_seed: spread(candidate.number),
    };
    let picked = match table.pick(service, options.kind, &demand) {
        // A target that was tried before is better than none.
        Err(PickFailure::AllAvoided) => table.pick(service, options.kind, &Demand { avoid: &[], ..demand }),
        picked => picked,
    };
    let target = picked?;
    Ok(target.announcement.id.clone())
}

/// Scatters consecutive numbers.
fn spread(number: u64) -> u32 {
    (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32
}
