//! Calls of a world's entries to its targets.

use std::time::Duration;

use kqr_dispatch::{CallFailure, Input, PollAnswer, TargetCall, TargetEndpoint};

use super::{CALL_TIMEOUT_MS, Event, WAY_MS, World};

/// What a fault does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    Normal,
    /// The call is carried out, its answer is lost.
    AnswerLost,
    /// The call gets no answer and is carried out after some milliseconds.
    Late(u64),
}

impl World {
    pub(super) fn call(
        &mut self,
        entry: usize,
        id: kqr_dispatch::CallId,
        endpoint: &TargetEndpoint,
        call: TargetCall,
    ) {
        let is_cut = self.target_cuts.contains(&(entry, endpoint.target.clone()));
        let fate = (self.fate)(&call);
        let now = self.now;
        let Some(target) = self.targets.get_mut(&endpoint.target) else {
            return;
        };
        if is_cut || !target.is_up {
            self.answer_later(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
            return;
        }
        if let TargetCall::Poll(poll) = &call
            && !poll.wait.is_zero()
            && !target.has_ends(poll.ack_cursor)
            && fate == CallFate::Normal
        {
            // A poll without anything to tell renews the lease at once and waits.
            drop(target.call(now, endpoint.token, &call));
            let mut rest = *poll;
            rest.wait = poll.wait.saturating_sub(Duration::from_millis(5));
            let call = TargetCall::Poll(rest);
            let endpoint = endpoint.clone();
            self.later(
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
        match fate {
            CallFate::Normal => {
                let answer = target.call(now, endpoint.token, &call);
                self.answer_later(WAY_MS, entry, id, &call, answer);
            }
            CallFate::AnswerLost => {
                drop(target.call(now, endpoint.token, &call));
                self.answer_later(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
            }
            CallFate::Late(millis) => {
                let endpoint = endpoint.clone();
                let late = kqr_dispatch::CallId(u64::MAX);
                self.answer_later(CALL_TIMEOUT_MS, entry, id, &call, no_answer());
                self.later(
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

    pub(super) fn answer_later(
        &mut self,
        millis: u64,
        entry: usize,
        call: kqr_dispatch::CallId,
        kind: &TargetCall,
        answer: Result<PollAnswer, CallFailure>,
    ) {
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
        self.later(millis, Event::Input(entry, Box::new(input)));
    }
}

fn no_answer() -> Result<PollAnswer, CallFailure> {
    Err(CallFailure::NoAnswer("no answer in time".to_owned()))
}
