//! Runs without progress.

use kqr_types::{Instant, TargetId};

use super::{OwnedTargets, log_target_change, run::RunState};
use crate::Output;

impl OwnedTargets {
    /// Stops the runs without progress, and quarantines the target if there are any.
    pub(super) fn stop_hanging_runs(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let timeout = self.options.progress_timeout;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let mut hanging = Vec::new();
        for (run, state) in &mut target.runs {
            if state.state == RunState::Running && now.since(state.progressed_at) >= timeout {
                state.require_end(now);
                hanging.push(run.clone());
            }
        }
        if hanging.is_empty() {
            return;
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
