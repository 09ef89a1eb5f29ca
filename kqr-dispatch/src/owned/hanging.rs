//! Runs without progress.

use kqr_types::{Instant, TargetId};

use super::{OwnedTargets, log_target_change, run::RunState};
use crate::{Output, TargetTime};

impl OwnedTargets {
    /// Stops the runs without progress until the target listed them at `clock`, and quarantines the target if there are any.
    pub(super) fn stop_hanging_runs(
        &mut self,
        now: Instant,
        id: &TargetId,
        clock: TargetTime,
        outputs: &mut Vec<Output>,
    ) {
        let timeout = self.options.progress_timeout;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let mut hanging = Vec::new();
        for (run, state) in target.runs.iter() {
            let is_hanging = state.progressed_at.is_some_and(|at| clock.since(at) >= timeout);
            if state.state == RunState::Running && is_hanging {
                hanging.push(run.clone());
            }
        }
        if hanging.is_empty() {
            return;
        }
        for run in &hanging {
            target.runs.update(run, |state| state.require_end(now));
        }
        target.health.quarantine(now, &self.options);
        log_target_change(
            outputs,
            target,
            "paused",
            format!("{} runs without progress", hanging.len()),
        );
        for run in hanging {
            self.stop_run(now, id, &run, "hanging", outputs);
        }
    }
}
