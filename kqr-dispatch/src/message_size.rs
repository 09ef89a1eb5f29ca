//! Estimated sizes of messages, in bytes as the applications write them.

use serde::Serialize;

use crate::{JobRequest, PollAnswer, SiblingMessage, TargetCall, TargetEndpoint, Traffic};

/// Envelope of a delivery to a sibling: frame, call context, sender and session.
pub(crate) const DELIVERY_BYTES: u64 = 130;
/// Answer to a delivery.
pub(crate) const DELIVERY_ANSWER_BYTES: u64 = 40;
/// Head of a call to a target without its name.
const CALL_HEAD_BYTES: u64 = 150;
/// Bodies of calls without the payload.
const START_BODY_BYTES: u64 = 110;
const STOP_BODY_BYTES: u64 = 70;
const POLL_BODY_BYTES: u64 = 80;
/// Answer of a target with its clock.
pub(crate) const CALL_ANSWER_BYTES: u64 = 140;
/// Start of a run without the payload.
pub(crate) const START_BYTES: u64 = CALL_HEAD_BYTES + START_BODY_BYTES + 20;
/// Order for a task.
const ORDER_BYTES: u64 = 220;
/// Row in the list of runs of a target.
const LISTED_RUN_BYTES: u64 = 45;
/// Head of the request of a caller, and the fields of its body without steps and payload.
const JOB_HEAD_BYTES: u64 = 350;
/// Step in the request of a caller.
const STEP_BYTES: u64 = 150;
/// Answer to a caller.
pub(crate) const JOB_ANSWER_BYTES: u64 = 150;
/// Report of a target with its head, and the answer to it.
pub(crate) const REPORT_BYTES: u64 = 500;
pub(crate) const REPORT_ANSWER_BYTES: u64 = 120;

/// Returns the size of a value in the encoding of messages between instances, or 0 if it can't be encoded.
pub fn encoded_bytes<Value>(value: &Value) -> u64
where
    Value: Serialize,
{
    bincode::serialized_size(value).unwrap_or(0)
}

impl SiblingMessage {
    /// Returns the type of the message on the link.
    pub const fn traffic(&self) -> Traffic {
        match self {
            Self::Load(_) => Traffic::Loads,
            Self::Run { .. } => Traffic::Orders,
            Self::Cancel(_) | Self::TakeBack(_) => Traffic::Cancellations,
            Self::Ended { .. } => Traffic::Ends,
            Self::LoadRequest | Self::Begun(_) | Self::TargetsLost(_) | Self::JobBegun(_) => {
                Traffic::OtherSiblings
            }
        }
    }

    /// Returns the estimated size of a delivery with only this message.
    pub fn link_bytes(&self) -> u64 {
        DELIVERY_BYTES + encoded_bytes(self)
    }
}

impl TargetCall {
    /// Returns the type of the call on the link.
    pub const fn traffic(&self) -> Traffic {
        match self {
            Self::Start(_) => Traffic::Starts,
            Self::Stop(_) => Traffic::Stops,
            Self::Poll(_) => Traffic::Polls,
        }
    }

    /// Returns the estimated size of the call to `endpoint`.
    pub fn link_bytes(&self, endpoint: &TargetEndpoint) -> u64 {
        let body = match self {
            Self::Start(start) => START_BODY_BYTES + start.spec.len() as u64,
            Self::Stop(_) => STOP_BODY_BYTES,
            Self::Poll(_) => POLL_BODY_BYTES,
        };
        CALL_HEAD_BYTES + endpoint.target.as_str().len() as u64 + body
    }
}

impl PollAnswer {
    /// Returns the estimated size of the answer.
    pub const fn link_bytes(&self) -> u64 {
        CALL_ANSWER_BYTES + LISTED_RUN_BYTES * (self.running.len() + self.ended.len()) as u64
    }
}

impl JobRequest {
    /// Returns the estimated size of the request of the caller.
    pub(crate) fn link_bytes(&self) -> u64 {
        JOB_HEAD_BYTES + STEP_BYTES * self.steps.len() as u64 + self.spec.len() as u64
    }

    /// Returns the estimated size of the orders for all tasks, which go to at most `owners` siblings.
    pub(crate) fn order_bytes(&self, owners: u64) -> u64 {
        let tasks = self.task_count();
        let messages = tasks.min(owners);
        tasks * ORDER_BYTES + messages * (DELIVERY_BYTES + self.spec.len() as u64)
    }
}
