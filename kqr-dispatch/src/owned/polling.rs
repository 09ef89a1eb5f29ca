//! Polls, which extend the lease of the runs on a target and list its active and ended runs.

use std::time::Duration;

use kqr_types::{Instant, TargetId};

use super::{
    OwnedTargets, log_target_change,
    next_poll::NextPoll,
    open_call::{OpenCall, PollKind},
    phase::Phase,
    probe::ProbeState,
    target::Target,
};
use crate::{Output, PollCall, TargetCall};

impl OwnedTargets {
    /// Sends the periodic polls that are due.
    pub(super) fn send_due_polls(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut due = Vec::new();
        for (id, target) in &self.targets {
            let is_due = matches!(target.next_poll, NextPoll::At(at) if at <= now);
            if is_due && target.phase != Phase::Fenced {
                due.push(id.clone());
            }
        }
        for id in due {
            self.send_poll(now, &id, outputs);
        }
    }

    /// Removes the runs whose lease has certainly expired.
    pub(super) fn expire_leases(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut expired = Vec::new();
        for (id, target) in &self.targets {
            let is_watched = target.phase == Phase::Attached || !target.runs.is_empty();
            // While the target is being attached, the lease granted by the previous owner is not known.
            let is_withheld =
                target.phase == Phase::Attached && target.overdue_run(now, &self.options).is_some();
            if is_watched
                && target.lease_ends_at <= now
                && (target.missed_polls > 0 || target.phase == Phase::Fenced || is_withheld)
            {
                expired.push(id.clone());
            }
        }
        for id in expired {
            self.clear_runs(&id, "the lease ended", outputs);
        }
        let former = std::mem::take(&mut self.former);
        for target in former {
            if target.lease_ends_at > now {
                self.former.push(target);
                continue;
            }
            self.end_former_runs(target);
        }
    }

    /// Logs the targets whose lease is no longer extended because of an overdue run, or is extended again.
    pub(super) fn log_withheld_leases(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for target in self.targets.values_mut() {
            let overdue = target.overdue_run(now, &self.options).cloned();
            if overdue == target.withheld_for {
                continue;
            }
            let (state, cause) = match &overdue {
                Some(run) => ("lease-withheld", format!("{run}: its stop is not confirmed")),
                None => ("lease-extended", "no stop is overdue".to_owned()),
            };
            target.withheld_for = overdue;
            log_target_change(outputs, target, state, cause);
        }
    }

    fn end_former_runs(&mut self, mut target: Target) {
        let id = target.record.id.clone();
        for (run, removed) in target.runs.take() {
            let end = target.end_of(&removed);
            self.end_unlisted_run(&id, run, removed, end);
        }
    }

    pub(super) fn send_poll(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let options = self.options.clone();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        // The lease of a target that does not answer, whose runs are not known yet, or which does not confirm
        // a stop, is not extended, so that its runs end.
        let may_extend = target.phase == Phase::Attached
            && target.missed_polls == 0
            && target.runs.has_work()
            && target.overdue_run(now, &options).is_none();
        let lease_until = if may_extend {
            target.extend_lease(now, &options)
        } else {
            None
        };
        let is_first = target.phase == Phase::Attaching || target.missed_polls > 0;
        let wait = if is_first { Duration::ZERO } else { self.poll_wait };
        target.next_poll = NextPoll::AfterAnswer;
        let call = PollCall {
            lease_until,
            ack_cursor: target.cursor,
            wait,
        };
        let open = OpenCall::Poll {
            target: id.clone(),
            token: target.token,
            sent_at: now,
            kind: PollKind::Periodic,
        };
        self.send_call(open, TargetCall::Poll(call), outputs);
    }

    /// Requests the list of runs immediately, because the periodic poll in flight may wait for long.
    pub(super) fn probe(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.probe != ProbeState::Idle {
            target.probe = ProbeState::Repeat;
            return;
        }
        target.probe = ProbeState::InFlight;
        let call = PollCall {
            lease_until: None,
            ack_cursor: target.cursor,
            wait: Duration::ZERO,
        };
        let open = OpenCall::Poll {
            target: id.clone(),
            token: target.token,
            sent_at: now,
            kind: PollKind::Probe,
        };
        self.send_call(open, TargetCall::Poll(call), outputs);
    }

    /// Records the end of a probe, and sends another one if it was requested meanwhile.
    pub(super) fn finish_probe(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut target.probe, ProbeState::Idle) == ProbeState::Repeat {
            self.probe(now, id, outputs);
        }
    }

    /// Records that a poll or start failed. After the first failure the next poll is sent at once, after
    /// further ones with a delay.
    pub(super) fn record_missed_poll(
        &mut self,
        now: Instant,
        id: &TargetId,
        cause: String,
        outputs: &mut Vec<Output>,
    ) {
        let retry = self.options.poll_retry_delay;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.missed_polls == 0 {
            log_target_change(outputs, target, "silent", cause);
        }
        let pause = if target.missed_polls == 0 {
            Duration::ZERO
        } else {
            retry
        };
        target.missed_polls += 1;
        target.next_poll = NextPoll::At(now + pause);
    }
}
