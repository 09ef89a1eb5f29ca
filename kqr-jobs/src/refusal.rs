//! Refusals that the job machine issues.

use std::time::Duration;

use kqr_types::JobKey;

use crate::{NotAccepted, Outcome, RefusalReason, TombstoneKind};

/// Delay after which a caller may retry at a member that was not ready.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the refusal of a member that can't decide about the key now; a retry with the same key is safe.
pub(crate) fn not_ready(detail: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::NotReady,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(NOT_READY_RETRY_DELAY),
        detail: detail.to_owned(),
    }
}

/// Returns the refusal of a key that was used with a different body; the body of this submission was not run.
pub(crate) fn key_reused() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::KeyReused,
        outcome: Outcome::NotRun,
        retry_after: None,
        detail: "the idempotency key was used before with a different body".to_owned(),
    }
}

/// Returns the refusal of a key whose earlier submission may have been lost with the records.
pub(crate) fn history_lost() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HistoryLost,
        outcome: Outcome::MayHaveRun,
        retry_after: None,
        detail: "the records of an earlier submission with this key may have been lost".to_owned(),
    }
}

/// Returns the promise that the key was never seen here and will not be run here.
pub(crate) fn renounced() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::UnknownKey,
        outcome: Outcome::NotRun,
        retry_after: None,
        detail: "the key was not run in this data centre and will not be run here".to_owned(),
    }
}

/// Returns the refusal of a key of which only a tombstone is left.
pub(crate) fn tombstoned(kind: TombstoneKind) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HistoryLost,
        outcome: kind.outcome(),
        retry_after: None,
        detail: match kind {
            TombstoneKind::Ended(_) => {
                "the answer to an earlier submission with this key is no longer retained".to_owned()
            }
            TombstoneKind::Renounced => "this data centre ceded the key to another data centre".to_owned(),
        },
    }
}

/// Returns the refusal of an unknown key. A submission with it may be in transit, or its tombstone may have
/// expired.
pub(crate) fn unknown_key(key: &JobKey) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::UnknownKey,
        outcome: Outcome::MayHaveRun,
        retry_after: None,
        detail: format!("no job with key {key} is known here"),
    }
}
