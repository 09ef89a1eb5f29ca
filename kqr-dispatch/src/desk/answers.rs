//! Answers of targets to starts, stops and polls.

use std::collections::BTreeSet;

use kqr_fleet::{Resources, TargetReport};
use kqr_types::{Instant, TargetId};

use super::{
    Desk,
    next_poll::NextPoll,
    note,
    open_call::{OpenCall, PollKind},
    phase::Phase,
    run::{Run, RunState},
};
use crate::{
    CallFailure, CallId, Decision, EndKind, EndedRun, NotRun, Output, PollAnswer, Refusal, RunEnd, RunId,
    RunProgress, TargetTime,
};

impl Desk {
    /// Takes the answer to a start.
    pub(crate) fn started(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<TargetTime, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Start { target: id, run, .. }) = self.close(call) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if let Ok(clock) = &answer {
            target.take_clock(now, *clock);
        }
        let Some(state) = target.runs.get_mut(&run) else {
            return;
        };
        match answer {
            Ok(_) if state.state == RunState::Starting => {
                state.progressed = now;
                state.enter(now, RunState::Running);
            }
            Ok(_) => {}
            Err(CallFailure::Refused(refusal)) => self.start_refused(now, &id, &run, refusal, outputs),
            Err(CallFailure::NotSent(cause)) => {
                self.not_run(&id, &run, NotRun::Refused);
                self.poll_missed(now, &id, cause, outputs);
            }
            Err(CallFailure::NoAnswer(cause)) => {
                if state.state == RunState::Starting {
                    state.enter(now, RunState::Doubtful);
                }
                note(outputs, target, "start-unanswered", format!("{run}: {cause}"));
                self.look(now, &id, outputs);
            }
        }
    }

    /// Takes the answer to a stop.
    pub(crate) fn stopped(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<TargetTime, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Stop { target: id, run, .. }) = self.close(call) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        match answer {
            Ok(clock) => {
                target.take_clock(now, clock);
                if let Some(state) = target.runs.get_mut(&run) {
                    state.stop_confirmed = Some(now);
                    self.look(now, &id, outputs);
                }
            }
            Err(CallFailure::Refused(Refusal::Fenced)) => self.fenced(&id, outputs),
            Err(CallFailure::Refused(Refusal::OtherTarget)) => self.replaced(&id, outputs),
            Err(failure) => note(outputs, target, "stop-unanswered", format!("{run}: {failure}")),
        }
    }

    /// Takes the answer to a poll.
    pub(crate) fn polled(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<PollAnswer, CallFailure>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(OpenCall::Poll {
            target: id,
            sent,
            kind,
            ..
        }) = self.close(call)
        else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if kind == PollKind::Chain {
            target.next_poll = NextPoll::At(now);
        } else {
            self.looked(now, &id, outputs);
        }
        match answer {
            Ok(answer) => {
                self.take_poll(now, &id, sent, answer, outputs);
                self.watch_progress(now, &id, outputs);
                if kind == PollKind::Chain && self.targets.contains_key(&id) {
                    self.poll(now, &id, outputs);
                }
            }
            Err(CallFailure::Refused(Refusal::Fenced)) => self.fenced(&id, outputs),
            Err(CallFailure::Refused(Refusal::OtherTarget)) => self.replaced(&id, outputs),
            // The chain of polls tells whether the target is silent.
            Err(_) if kind == PollKind::Look => {}
            Err(failure) => self.poll_missed(now, &id, failure.to_string(), outputs),
        }
    }

    /// Closes a call, unless its target has gone to another owner since.
    fn close(&mut self, call: CallId) -> Option<OpenCall> {
        let open = self.calls.remove(&call)?;
        let target = self.targets.get(open.target())?;
        (target.token == open.token()).then_some(open)
    }

    fn start_refused(
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
        note(
            outputs,
            target,
            "start-refused",
            format!("{run}: {}", refusal.as_str()),
        );
        let cause = match refusal {
            Refusal::Superseded => NotRun::Superseded,
            Refusal::Unhealthy => {
                target.health.pause(now, &self.options);
                NotRun::Refused
            }
            _ => NotRun::Refused,
        };
        self.not_run(id, run, cause);
        match refusal {
            Refusal::Fenced => self.fenced(id, outputs),
            Refusal::OtherTarget => self.replaced(id, outputs),
            _ => {}
        }
    }

    /// Ends an order whose run never began.
    fn not_run(&mut self, id: &TargetId, run: &RunId, cause: NotRun) {
        let removed = self.targets.get_mut(id).and_then(|target| target.remove(run));
        let ordered_by = removed.and_then(|run| run.ordered_by);
        if let Some((coordinator, order_id)) = ordered_by {
            self.end(coordinator, order_id, RunEnd::NotRun(cause), Some(id.clone()));
        }
    }

    /// Another owner has the target: it stops what runs there; until the lease ends the runs count as alive.
    fn fenced(&mut self, id: &TargetId, outputs: &mut Vec<Output>) {
        if let Some(target) = self.targets.get_mut(id)
            && target.phase != Phase::Fenced
        {
            target.phase = Phase::Fenced;
            note(outputs, target, "fenced", format!("token {}", target.token));
        }
    }

    /// Another target has the address: the former one is dead, and nothing of it runs.
    fn replaced(&mut self, id: &TargetId, outputs: &mut Vec<Output>) {
        self.clear_runs(id, "another target has the address", outputs);
        if let Some(target) = self.targets.remove(id) {
            note(
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

    fn take_poll(
        &mut self,
        now: Instant,
        id: &TargetId,
        sent: Instant,
        answer: PollAnswer,
        outputs: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if let Some(incarnation) = answer.incarnation
            && incarnation != target.record.life
        {
            let input = format!("life {} after {}", incarnation, target.record.life);
            note(outputs, target, "restarted", input);
            target.record.life = incarnation;
            // A start that was on its way may belong to the new life: what the lists show decides about each run.
            target.begin_life();
        }
        if target.missed > 0 {
            note(
                outputs,
                target,
                "answering",
                format!("after {} missed polls", target.missed),
            );
        }
        target.missed = 0;
        target.heard = now;
        target.take_clock(now, answer.clock);
        let is_newest = target.take_list(answer.clock);
        for ended in answer.ended {
            self.take_end(now, id, &ended, outputs);
        }
        if is_newest {
            self.take_running(now, id, sent, &answer.running, outputs);
        }
    }

    fn take_end(&mut self, now: Instant, id: &TargetId, ended: &EndedRun, outputs: &mut Vec<Output>) {
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
        let took = now.since(run.sent);
        match ended.kind {
            EndKind::Done => target.health.done(&self.options, took, run.estimate),
            EndKind::Failed if run.failures == 0 => {
                if target.health.failed(now, &self.options, &ended.run.task.job) {
                    note(
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
                after_ms: took.as_millis() as u64,
            }));
        }
        if let Some((coordinator, order_id)) = run.ordered_by {
            self.end(coordinator, order_id, end, Some(id.clone()));
        }
    }

    /// Compares what the target lists with what is believed to run there.
    fn take_running(
        &mut self,
        now: Instant,
        id: &TargetId,
        sent: Instant,
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
            match target.runs.get_mut(&row.run) {
                Some(run) => take_row(now, run, row),
                None => unknown.push(row.run.clone()),
            }
        }
        let mut cleared = Vec::new();
        let mut doubtful = Vec::new();
        for (id, run) in &target.runs {
            if listed.contains(id) {
                continue;
            }
            match run.state {
                RunState::Running if run.since < sent => cleared.push((id.clone(), "no longer listed")),
                RunState::Stopping if run.stop_confirmed.is_some_and(|at| at <= sent) => {
                    cleared.push((id.clone(), "not listed after a stop"));
                }
                RunState::Doubtful | RunState::Stopping if run.start_by < sent => {
                    cleared.push((id.clone(), "not listed after its start was due"));
                }
                RunState::Doubtful if run.since <= sent => doubtful.push(id.clone()),
                RunState::Starting | RunState::Running | RunState::Doubtful | RunState::Stopping => {}
            }
        }
        let is_unseen = target.phase == Phase::Unseen;
        let capacity = target.record.capacity;
        for run in &unknown {
            target.runs.insert(run.clone(), orphan(now, capacity));
        }
        if is_unseen && target.runs.is_empty() {
            target.phase = Phase::Attached;
            note(outputs, target, "attached", "its list of runs".to_owned());
        }
        for (run, proof) in cleared {
            self.clear_run(id, &run, proof, outputs);
        }
        for run in unknown {
            self.stop(now, id, &run, "unknown here", outputs);
        }
        for run in doubtful {
            self.stop(now, id, &run, "start unanswered", outputs);
        }
    }

    /// Stops runs that make no progress.
    fn watch_progress(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let hang = self.options.progress_timeout;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let mut hanging = Vec::new();
        for (run, state) in &target.runs {
            if state.state == RunState::Running && now.since(state.progressed) >= hang {
                hanging.push(run.clone());
            }
        }
        if hanging.is_empty() {
            return;
        }
        target.health.pause(now, &self.options);
        note(outputs, target, "paused", format!("{} runs hang", hanging.len()));
        for run in hanging {
            self.stop(now, id, &run, "hanging", outputs);
        }
    }
}

fn take_row(now: Instant, run: &mut Run, row: &RunProgress) {
    if row.percent > run.percent {
        run.percent = row.percent;
        run.progressed = now;
    }
    if matches!(run.state, RunState::Starting | RunState::Doubtful) {
        run.enter(now, RunState::Running);
    }
}

/// Returns a run that an earlier owner left. It counts as filling the target.
fn orphan(now: Instant, capacity: Resources) -> Run {
    Run {
        ordered_by: None,
        needs: capacity,
        estimate: std::time::Duration::ZERO,
        state: RunState::Running,
        sent: now,
        since: now,
        start_by: now,
        stop_confirmed: None,
        percent: 0,
        progressed: now,
        failures: 0,
    }
}
