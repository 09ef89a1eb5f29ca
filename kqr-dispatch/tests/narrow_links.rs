//! Entries whose links carry 2 Mbit/s: what they exchange at a usual load passes without losses of siblings.

mod simulation;

use std::sync::Arc;

use kqr_dispatch::{EndKind, JobEnd};
use simulation::{Simulation, TaskBehaviour, job};

const ENTRIES: usize = 6;
const TARGETS: usize = 240;
/// 2 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 250;
/// Largest payload of a job.
const PAYLOAD_BYTES: usize = 4_000;
const TASKS: u32 = 12;
const JOBS: usize = 120;
/// Interval between jobs, which arrive at the entries in turn.
const JOB_INTERVAL_MS: u64 = 25;

/// Each order carried the payload again, and each report all targets: links of 2 Mbit/s fell behind, siblings counted each
/// other as lost, and stopped runs were ordered again.
#[test]
fn jobs_with_large_payloads_pass_narrow_links() {
    let behaviour = TaskBehaviour {
        run_ms: 60,
        end: EndKind::Done,
        hangs: false,
    };
    let mut sim = Simulation::new(ENTRIES, TARGETS, behaviour);
    sim.link_bytes_per_ms = Some(LINK_BYTES_PER_MS);
    sim.run_for(500);
    sim.decisions.clear();
    for number in 0..JOBS {
        let mut job = job(&format!("job-{number}"), TASKS, 60);
        job.spec = Arc::from("x".repeat(PAYLOAD_BYTES));
        sim.submit(number % ENTRIES, job);
        sim.run_for(JOB_INTERVAL_MS);
    }
    sim.run_for(2_000);
    let losses = sim.decisions.iter().filter(|decision| decision.contains("lost"));
    assert_eq!(losses.count(), 0, "losses of siblings");
    let completed = (0..JOBS).filter(|number| {
        let end = sim.end_of(&format!("job-{number}"));
        end == Some(&JobEnd::Completed)
    });
    assert_eq!(completed.count(), JOBS);
}
