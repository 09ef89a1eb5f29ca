//! Promises that are checked at each step.

use std::collections::BTreeMap;

use super::Simulation;

impl Simulation {
    /// Records tasks that run twice, or run after their completion was acknowledged.
    pub(super) fn check_runs(&mut self) {
        for target in self.targets.values_mut() {
            for (task, spec) in std::mem::take(&mut target.acknowledged) {
                self.acknowledged.entry(task).or_default().insert(spec);
            }
        }
        let mut seen = BTreeMap::new();
        for target in self.targets.values().filter(|target| target.is_up) {
            for (run, work) in &target.running {
                let acknowledged = self.acknowledged.get(&run.task);
                if acknowledged.is_some_and(|specs| specs.contains(&work.spec)) {
                    self.restarts_after_done.insert(run.task.to_string());
                }
                let Some(other) = seen.insert(&run.task, &work.spec) else {
                    continue;
                };
                self.duplicate_runs.insert(run.task.to_string());
                if *other == work.spec {
                    self.duplicates_of_one_payload.insert(run.task.to_string());
                }
            }
        }
    }
}
