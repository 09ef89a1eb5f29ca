//! Calls from the simulated entries to targets.

use std::time::Duration;

use kqr_dispatch::{CallFailure, Input, PollAnswer, TargetCall, TargetEndpoint};

use super::{CALL_TIMEOUT_MS, Event, LATENCY_MS, NO_CALLER, Simulation};

/// Fault of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    Normal,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call gets no answer, and takes effect after this delay in milliseconds.
    Late(u64),
}

impl Simulation {
    /// Sends a call to a target over the link of the entry, which gives the call up after its timeout.
    pub(super) fn send_call(
        &mut self,
        entry: usize,
        id: kqr_dispatch::CallId,
        endpoint: TargetEndpoint,
        call: TargetCall,
    ) {
        let (mut id, mut delay) = (id, LATENCY_MS);
        if self.do_calls_share_links {
            delay += self.sending_time(entry, call.link_bytes(&endpoint));
            let wait = match &call {
                TargetCall::Poll(poll) => poll.wait,
                TargetCall::Start(_) | TargetCall::Stop(_) => Duration::ZERO,
            };
            let extension = self.entries[entry].dispatcher.link().timeout_extension();
            let limit = CALL_TIMEOUT_MS + (wait + extension).as_millis() as u64;
            if delay >= limit {
                self.schedule_answer(limit, entry, id, &call, no_answer());
                id = NO_CALLER;
            } else {
                self.call_limits.insert((entry, id), self.now + limit);
            }
        }
        self.schedule(
            delay,
            Event::Call {
                entry,
                id,
                endpoint,
                call,
            },
        );
    }

    /// Returns the delay of an answer and what the caller gets: nothing if the answer passes the link too late.
    fn receive(
        &mut self,
        millis: u64,
        entry: usize,
        call: kqr_dispatch::CallId,
        answer: Result<PollAnswer, CallFailure>,
    ) -> (u64, Result<PollAnswer, CallFailure>) {
        let (Some(rate), Some(limit)) = (self.link_bytes_per_ms, self.call_limits.remove(&(entry, call)))
        else {
            return (millis, answer);
        };
        let bytes = answer.as_ref().map_or(0, PollAnswer::link_bytes);
        let free_at = self.receiving_free_at.entry(entry).or_default();
        *free_at = (*free_at).max((self.now + millis) * 1000) + bytes * 1000 / rate;
        let arrives_at = (*free_at).div_ceil(1000);
        if arrives_at > limit {
            return (limit.saturating_sub(self.now), no_answer());
        }
        (arrives_at - self.now, answer)
    }

    pub(super) fn call(
        &mut self,
        entry: usize,
        id: kqr_dispatch::CallId,
        endpoint: &TargetEndpoint,
        call: TargetCall,
    ) {
        let is_cut = self.cut_target_links.contains(&(entry, endpoint.target.clone()));
        let call_fault = (self.call_fault)(&call);
        let now = self.now;
        let Some(target) = self.targets.get_mut(&endpoint.target) else {
            return;
        };
        if !is_cut && target.restarts_at.is_some() {
            let refused = Err(CallFailure::ConnectionRefused("connection refused".to_owned()));
            self.schedule_answer(LATENCY_MS, entry, id, &call, refused);
            return;
        }
        if is_cut || !target.is_up {
            self.schedule_answer(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
            return;
        }
        if let TargetCall::Poll(poll) = &call
            && !poll.wait.is_zero()
            && !target.has_ends(poll.ack_cursor)
            && call_fault == CallFault::Normal
        {
            // A poll without new ends extends the lease at once; its answer is held.
            drop(target.call(now, endpoint.token, &call));
            let mut rest = *poll;
            rest.wait = poll.wait.saturating_sub(Duration::from_millis(5));
            let call = TargetCall::Poll(rest);
            let endpoint = endpoint.clone();
            self.schedule(
                5,
                Event::Call {
                    entry,
                    id,
                    endpoint,
                    call,
                },
            );
            return;
        }
        match call_fault {
            CallFault::Normal => {
                let answer = target.call(now, endpoint.token, &call);
                self.schedule_answer(LATENCY_MS, entry, id, &call, answer);
            }
            CallFault::AnswerLost => {
                drop(target.call(now, endpoint.token, &call));
                self.schedule_answer(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
            }
            CallFault::Late(millis) => {
                let endpoint = endpoint.clone();
                let late = NO_CALLER;
                self.schedule_answer(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
                self.schedule(
                    millis,
                    Event::Call {
                        entry,
                        id: late,
                        endpoint,
                        call,
                    },
                );
            }
        }
    }

    pub(super) fn schedule_answer(
        &mut self,
        millis: u64,
        entry: usize,
        call: kqr_dispatch::CallId,
        kind: &TargetCall,
        answer: Result<PollAnswer, CallFailure>,
    ) {
        let (millis, answer) = self.receive(millis, entry, call, answer);
        let input = match kind {
            TargetCall::Start(_) => Input::StartAnswered {
                call,
                answer: answer.map(|answer| answer.clock),
            },
            TargetCall::Stop(_) => Input::StopAnswered {
                call,
                answer: answer.map(|answer| answer.clock),
            },
            TargetCall::Poll(_) => Input::PollAnswered { call, answer },
        };
        self.schedule(millis, Event::Input(entry, Box::new(input)));
    }
}

fn no_answer() -> Result<PollAnswer, CallFailure> {
    Err(CallFailure::NoAnswer("no answer in time".to_owned()))
}
