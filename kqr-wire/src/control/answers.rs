use kqr_settings::{Answer, Problem, Problems, Refusal, Version};
use kqr_types::ParseError;

use super::{
    MessageError,
    messages::{self, change_reply, refused},
    updates::parse_digest,
};

impl From<Answer> for messages::ChangeReply {
    fn from(answer: Answer) -> Self {
        let kind = match answer {
            Answer::Accepted { version, digest } => change_reply::Kind::Accepted(messages::Accepted {
                version: version.0,
                digest: digest.0.to_be_bytes().to_vec(),
            }),
            Answer::Refused(refusal) => change_reply::Kind::Refused(messages::Refused {
                reason: Some(refusal.into()),
            }),
        };
        Self { kind: Some(kind) }
    }
}

impl From<Refusal> for refused::Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Conflict {
                by,
                change,
                operator,
                path,
            } => Self::Beaten(messages::Beaten {
                by: by.0,
                change: change.into(),
                operator: operator.into(),
                path: path.into(),
            }),
            Refusal::Invalid(problems) => Self::Invalid(messages::Invalid {
                problems: problems.0.into_iter().map(Into::into).collect(),
            }),
            Refusal::TooOld { oldest } => Self::Oldest(oldest.0),
            Refusal::NotYet { highest } => Self::Highest(highest.0),
            Refusal::EditCount { given, most } => Self::EditCount(messages::EditCount {
                given: given as u64,
                most: most as u64,
            }),
        }
    }
}

impl From<Problem> for messages::Problem {
    fn from(problem: Problem) -> Self {
        Self {
            path: problem.path.into(),
            value: problem.value,
            allowed: problem.allowed,
            nearest: problem.nearest,
            place: problem.source_location,
        }
    }
}

impl TryFrom<messages::ChangeReply> for Answer {
    type Error = MessageError;

    fn try_from(reply: messages::ChangeReply) -> Result<Self, MessageError> {
        match reply.kind {
            Some(change_reply::Kind::Accepted(accepted)) => Ok(Self::Accepted {
                version: Version(accepted.version),
                digest: parse_digest(&accepted.digest)?,
            }),
            Some(change_reply::Kind::Refused(messages::Refused { reason: Some(reason) })) => {
                Ok(Self::Refused(parse_refusal(reason)?))
            }
            _ => Err(MessageError::new("kind", "missing")),
        }
    }
}

fn parse_refusal(reason: refused::Reason) -> Result<Refusal, MessageError> {
    let invalid = |error: ParseError| MessageError::new("reason", error);
    match reason {
        refused::Reason::Beaten(beaten) => Ok(Refusal::Conflict {
            by: Version(beaten.by),
            change: beaten.change.parse().map_err(invalid)?,
            operator: beaten.operator.parse().map_err(invalid)?,
            path: beaten.path.parse().map_err(invalid)?,
        }),
        refused::Reason::Invalid(list) => {
            let mut problems = Vec::with_capacity(list.problems.len());
            for problem in list.problems {
                problems.push(Problem {
                    source_location: problem.place,
                    path: problem.path.parse().map_err(invalid)?,
                    value: problem.value,
                    allowed: problem.allowed,
                    nearest: problem.nearest,
                });
            }
            Ok(Refusal::Invalid(Problems(problems)))
        }
        refused::Reason::Oldest(oldest) => Ok(Refusal::TooOld {
            oldest: Version(oldest),
        }),
        refused::Reason::Highest(highest) => Ok(Refusal::NotYet {
            highest: Version(highest),
        }),
        refused::Reason::EditCount(count) => Ok(Refusal::EditCount {
            given: count.given as usize,
            most: count.most as usize,
        }),
    }
}
