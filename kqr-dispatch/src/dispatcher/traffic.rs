//! Accounting of the messages that pass the link of this entry.

use kqr_types::Instant;

use super::Dispatcher;
use crate::{
    Decision, Input, LinkUsage, Output, Traffic,
    message_size::{
        CALL_ANSWER_BYTES, DELIVERY_ANSWER_BYTES, JOB_ANSWER_BYTES, REPORT_ANSWER_BYTES, REPORT_BYTES,
    },
};

/// Interval between log lines about the usage of the link.
const USAGE_LOG_INTERVAL_MS: u64 = 1000;

impl Dispatcher {
    /// Returns the bytes sent and received since the start.
    pub const fn link_usage(&self) -> &LinkUsage {
        &self.usage
    }

    /// Records bytes that were sent and received outside of the inputs and outputs of the dispatcher.
    pub fn record_traffic(&mut self, now: Instant, traffic: Traffic, sent: u64, received: u64) {
        self.link.send(now, traffic, sent);
        self.usage.add(traffic, sent, received);
        self.recent_usage.add(traffic, sent, received);
    }

    pub(super) fn record_input(&mut self, now: Instant, input: &Input) {
        let (traffic, sent, received) = match input {
            Input::Submit(request) => (Traffic::Callers, 0, request.link_bytes()),
            Input::TargetReported(_) => (Traffic::Reports, REPORT_ANSWER_BYTES, REPORT_BYTES),
            Input::MessageReceived { message, .. } => {
                (message.traffic(), DELIVERY_ANSWER_BYTES, message.link_bytes())
            }
            Input::StartAnswered { answer: Ok(_), .. } => (Traffic::Starts, 0, CALL_ANSWER_BYTES),
            Input::StopAnswered { answer: Ok(_), .. } => (Traffic::Stops, 0, CALL_ANSWER_BYTES),
            Input::PollAnswered {
                answer: Ok(answer), ..
            } => (Traffic::Polls, 0, answer.link_bytes()),
            _ => return,
        };
        self.record_traffic(now, traffic, sent, received);
    }

    pub(super) fn record_outputs(&mut self, now: Instant, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::Call { endpoint, call, .. } => {
                    self.record_traffic(now, call.traffic(), call.link_bytes(endpoint), 0);
                }
                Output::Send { to, message } => {
                    if let Some(sibling) = self.siblings.get_mut(to) {
                        sibling.last_message_at = now;
                    }
                    let (sent, received) = (message.link_bytes(), DELIVERY_ANSWER_BYTES);
                    self.record_traffic(now, message.traffic(), sent, received);
                }
                Output::JobEnded { .. } => self.record_traffic(now, Traffic::Callers, JOB_ANSWER_BYTES, 0),
                Output::ResetLink { .. } | Output::Decision(_) => {}
            }
        }
    }

    /// Logs the bytes since the last log line, if it was long enough ago.
    pub(super) fn log_usage(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let since = *self.usage_logged_at.get_or_insert(now);
        let period_ms = now.since(since).as_millis() as u64;
        if period_ms < USAGE_LOG_INTERVAL_MS {
            return;
        }
        self.usage_logged_at = Some(now);
        let usage = std::mem::take(&mut self.recent_usage);
        if usage == LinkUsage::default() {
            return;
        }
        outputs.push(Output::Decision(Decision::LinkUsed {
            usage: Box::new(usage),
            period_ms,
        }));
    }
}
