//! Answers of targets to starts, stops and polls.

use std::collections::BTreeSet;

use kqr_fleet::TargetReport;
use kqr_types::{Instant, TargetId};

use super::{
    EndedOrder, OwnedTargets, log_target_change,
    next_poll::NextPoll,
    open_call::{OpenCall, PollKind},
    phase::Phase,
    run::{Run, RunState},
};
use crate::{
    CallFailure, CallId, Decision, EndKind, EndedRun, NotRun, Output, PollAnswer, Refusal, RunEnd, RunId,
    RunProgress, TargetTime,
};

impl OwnedTargets {
    /// Handles the answer to a start.
    pub(crate) fn handle_start_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<TargetTime, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Start { target: id, run, .. }) = self.take_open_call(call) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if let Ok(clock) = &answer {
            target.update_clock(now, *clock);
        }
        let answered = target.runs.update(&run, |state| {
            if state.state == RunState::Starting {
                state.record_start_answer(now, &answer);
            }
        });
        if answered.is_none() {
            return;
        }
        match answer {
            Ok(_) => {}
            Err(CallFailure::Refused(refusal)) => self.handle_start_refusal(now, &id, &run, refusal, outputs),
            Err(failure @ (CallFailure::NotSent(_) | CallFailure::ConnectionRefused(_))) => {
                if matches!(failure, CallFailure::ConnectionRefused(_)) {
                    target.refused_at = Some(now);
                }
                let cause = failure.to_string();
                self.end_not_run(&id, &run, NotRun::Refused);
                self.record_missed_poll(now, &id, cause, outputs);
            }
            Err(CallFailure::NoAnswer(cause)) => {
                log_target_change(outputs, target, "start-unanswered", format!("{run}: {cause}"));
                self.probe(now, &id, outputs);
            }
        }
    }

    /// Handles the answer to a stop.
    pub(crate) fn handle_stop_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<TargetTime, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Stop { target: id, run, .. }) = self.take_open_call(call) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.open_stops = target.open_stops.saturating_sub(1);
        match answer {
            Ok(clock) => {
                target.update_clock(now, clock);
                let confirm = |state: &mut Run| state.stop_confirmed_at = Some(now);
                if target.runs.update(&run, confirm).is_some() {
                    self.probe(now, &id, outputs);
                }
            }
            Err(CallFailure::Refused(Refusal::Fenced)) => self.mark_fenced(&id, outputs),
            Err(CallFailure::Refused(Refusal::OtherTarget)) => self.remove_replaced(&id, outputs),
            Err(failure) => {
                log_target_change(outputs, target, "stop-unanswered", format!("{run}: {failure}"));
            }
        }
        self.send_pending_stops(now, &id, outputs);
    }

    /// Handles the answer to a poll.
    pub(crate) fn handle_poll_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<PollAnswer, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Poll {
            target: id,
            sent_at,
            kind,
            ..
        }) = self.take_open_call(call)
        else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if matches!(answer, Err(CallFailure::ConnectionRefused(_))) {
            target.refused_at = Some(now);
        }
        if kind == PollKind::Periodic {
            target.next_poll = NextPoll::At(now);
        } else {
            self.finish_probe(now, &id, outputs);
        }
        match answer {
            Ok(answer) => {
                let clock = answer.clock;
                self.apply_poll_answer(now, &id, sent_at, answer, outputs);
                self.stop_hanging_runs(now, &id, clock, outputs);
                if kind == PollKind::Periodic && self.targets.contains_key(&id) {
                    self.send_poll(now, &id, outputs);
                }
            }
            Err(CallFailure::Refused(Refusal::Fenced)) => self.mark_fenced(&id, outputs),
            Err(CallFailure::Refused(Refusal::OtherTarget)) => self.remove_replaced(&id, outputs),
            // Only the periodic polls decide whether the target is silent.
            Err(_) if kind == PollKind::Probe => {}
            Err(failure) => self.record_missed_poll(now, &id, failure.to_string(), outputs),
        }
    }

    /// Removes and returns an open call. Returns `None` if the target has been granted under another token
    /// since.
    fn take_open_call(&mut self, call: CallId) -> Option<OpenCall> {
        let open = self.calls.remove(&call)?;
        let target = self.targets.get(open.target())?;
        (target.token == open.token()).then_some(open)
    }

    fn handle_start_refusal(
        &mut self,
        now: Instant,
        id: &TargetId,
        run: &RunId,
        refusal: Refusal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        log_target_change(
            outputs,
            target,
            "start-refused",
            format!("{run}: {}", refusal.as_str()),
        );
        let cause = match refusal {
            Refusal::Superseded => NotRun::Superseded,
            Refusal::Unhealthy => {
                target.health.quarantine(now, &self.options);
                NotRun::Refused
            }
            _ => NotRun::Refused,
        };
        self.end_not_run(id, run, cause);
        match refusal {
            Refusal::Fenced => self.mark_fenced(id, outputs),
            Refusal::OtherTarget => self.remove_replaced(id, outputs),
            _ => {}
        }
    }

    /// Removes a run that did not begin, and ends its order.
    fn end_not_run(&mut self, id: &TargetId, run: &RunId, cause: NotRun) {
        let removed = self.targets.get_mut(id).and_then(|target| target.remove(run));
        let ordered_by = removed.and_then(|run| run.ordered_by);
        if let Some((coordinator, order_id)) = ordered_by {
            self.end_order(coordinator, order_id, RunEnd::NotRun(cause), Some(id.clone()));
        }
    }

    /// Marks a target as fenced. Its new owner stops the runs; they count as active until their lease
    /// expires.
    fn mark_fenced(&mut self, id: &TargetId, outputs: &mut Vec<Output>) {
        if let Some(target) = self.targets.get_mut(id)
            && target.phase != Phase::Fenced
        {
            target.phase = Phase::Fenced;
            log_target_change(outputs, target, "fenced", format!("token {}", target.token));
        }
    }

    /// Removes a target whose address now belongs to another target: it has ended, and so have its runs.
    fn remove_replaced(&mut self, id: &TargetId, outputs: &mut Vec<Output>) {
        self.clear_runs(id, "another target has the address", outputs);
        if let Some(target) = self.targets.remove(id) {
            self.list_number += 1;
            log_target_change(
                outputs,
                &target,
                "replaced",
                format!("at {}", target.record.address),
            );
            self.reports.push(TargetReport::Gone {
                id: id.clone(),
                life: Some(target.record.life),
            });
        }
    }

    fn apply_poll_answer(
        &mut self,
        now: Instant,
        id: &TargetId,
        sent_at: Instant,
        answer: PollAnswer,
        outputs: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if let Some(incarnation) = answer.incarnation
            && incarnation != target.record.life
        {
            let cause = format!("incarnation {} after {}", incarnation, target.record.life);
            log_target_change(outputs, target, "restarted", cause);
            // A start in flight may have reached the new incarnation, so the lists of runs decide about each
            // run.
            target.restart_as(incarnation);
        }
        if target.missed_polls > 0 {
            log_target_change(
                outputs,
                target,
                "answering",
                format!("after {} missed polls", target.missed_polls),
            );
        }
        target.missed_polls = 0;
        target.refused_at = None;
        target.last_answer_at = now;
        target.update_clock(now, answer.clock);
        let is_newest = target.record_list(answer.clock);
        for ended in answer.ended {
            self.apply_end(now, id, &ended, outputs);
        }
        if is_newest {
            self.reconcile_runs(now, id, sent_at, answer.clock, &answer.running, outputs);
        }
    }

    fn apply_end(&mut self, now: Instant, id: &TargetId, ended: &EndedRun, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if ended.number <= target.cursor {
            return;
        }
        target.cursor = ended.number;
        let Some(run) = target.remove(&ended.run) else {
            return;
        };
        let elapsed = now.since(run.sent_at);
        let run_time = target.health.normal_run_time(elapsed);
        match ended.kind {
            EndKind::Done => target.health.record_success(&self.options, elapsed, run.estimate),
            EndKind::Failed if run.failures == 0 => {
                if target
                    .health
                    .record_failure(now, &self.options, &ended.run.task.job)
                {
                    log_target_change(
                        outputs,
                        target,
                        "paused",
                        "failed runs of several jobs".to_owned(),
                    );
                }
            }
            EndKind::Failed | EndKind::Stopped => {}
        }
        let end = match ended.kind {
            EndKind::Done => RunEnd::Done,
            EndKind::Failed => RunEnd::Failed,
            EndKind::Stopped => RunEnd::Lost,
        };
        if end != RunEnd::Done {
            outputs.push(Output::Decision(Decision::RunEnded {
                run: ended.run.clone(),
                target: id.clone(),
                kind: ended.kind,
                after_ms: elapsed.as_millis() as u64,
            }));
        }
        if let Some((coordinator, order_id)) = run.ordered_by {
            self.ended.push(EndedOrder {
                coordinator,
                order_id,
                end,
                target: Some(id.clone()),
                run_time: (end == RunEnd::Done).then_some(run_time),
            });
        }
    }

    /// Reconciles the runs that the target lists with those known to the owner.
    fn reconcile_runs(
        &mut self,
        now: Instant,
        id: &TargetId,
        sent_at: Instant,
        clock: TargetTime,
        running: &[RunProgress],
        outputs: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let mut listed = BTreeSet::new();
        let mut unknown = Vec::new();
        for row in running {
            listed.insert(row.run.clone());
            let update = |run: &mut Run| run.update_progress(now, clock, row);
            if target.runs.update(&row.run, update).is_none() {
                unknown.push(row.run.clone());
            }
        }
        let mut cleared = Vec::new();
        let mut uncertain = Vec::new();
        for (id, run) in target.runs.iter() {
            if listed.contains(id) {
                continue;
            }
            match run.state {
                RunState::Running if run.state_since < sent_at => {
                    cleared.push((id.clone(), "no longer listed"));
                }
                RunState::Stopping if run.stop_confirmed_at.is_some_and(|at| at <= sent_at) => {
                    cleared.push((id.clone(), "not listed after a stop"));
                }
                RunState::Uncertain | RunState::Stopping if run.start_by < sent_at => {
                    cleared.push((id.clone(), "not listed after its start was due"));
                }
                RunState::Uncertain if run.state_since <= sent_at => uncertain.push(id.clone()),
                RunState::Starting | RunState::Running | RunState::Uncertain | RunState::Stopping => {}
            }
        }
        let is_attaching = target.phase == Phase::Attaching;
        let (capacity, life) = (target.record.capacity, target.record.life);
        for run in &unknown {
            target
                .runs
                .insert(run.clone(), Run::orphaned(now, capacity, life));
        }
        if is_attaching && target.runs.is_empty() {
            target.phase = Phase::Attached;
            log_target_change(
                outputs,
                target,
                "attached",
                "the list of runs is empty".to_owned(),
            );
        }
        for (run, proof) in cleared {
            self.clear_run(id, &run, proof, outputs);
        }
        for run in unknown {
            self.stop_run(now, id, &run, "unknown to the owner", outputs);
        }
        for run in uncertain {
            self.stop_run(now, id, &run, "start unanswered", outputs);
        }
    }
}
