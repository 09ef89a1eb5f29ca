//! Reports of targets that an owner passes on to control.

mod simulation;

use kqr_dispatch::{EndKind, Input};
use kqr_fleet::{Resources, TargetReport};
use simulation::{Simulation, TaskBehaviour, job, target_id};

const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: 9_000,
    end: EndKind::Done,
    hangs: false,
};
/// Interval of a target's reports.
const REPORT_INTERVAL_MS: u64 = 1_500;

/// An owner of a target with a task.
struct Owner {
    sim: Simulation,
    sequence: u64,
}

impl Owner {
    fn new() -> Self {
        let mut sim = Simulation::new(1, 1, LONG);
        sim.submit(0, job("task", 1, 9_000));
        let mut owner = Self { sim, sequence: 0 };
        owner.reports_news(false);
        assert!(!owner.reports_news(false), "nothing is new");
        owner
    }

    /// Handles the next report of the target. Returns whether it is passed on.
    fn reports_news(&mut self, is_leaving: bool) -> bool {
        self.sim.run_for(REPORT_INTERVAL_MS);
        self.sequence += 1;
        let report = TargetReport::Present {
            record: self.sim.targets[&target_id(0)].record.clone(),
            sequence: self.sequence,
            is_leaving,
        };
        self.sim.inject(0, Input::TargetReported(report));
        !self.sim.take_reports(0).is_empty()
    }
}

/// The owner passed on a change once, and the instance that took it was lost: the next owner began with the former
/// capacity.
#[test]
fn a_changed_capacity_is_reported_until_control_knows_it() {
    let mut owner = Owner::new();
    let target = owner.sim.targets.get_mut(&target_id(0)).unwrap();
    target.record.capacity = Resources {
        cpu_milli: 6_800,
        ..target.record.capacity
    };
    assert!(owner.reports_news(false));
    assert!(owner.reports_news(false), "control has not confirmed it");
    owner.sim.publish_views();
    assert!(!owner.reports_news(false));
}

#[test]
fn a_departure_is_reported_until_control_knows_it() {
    let mut owner = Owner::new();
    assert!(owner.reports_news(true));
    assert!(owner.reports_news(true), "control has not confirmed it");
    owner.sim.leaving.insert(target_id(0));
    owner.sim.publish_views();
    assert!(!owner.reports_news(true));
}
