//! The refusals that the machine gives by itself.

use std::time::Duration;

use kqr_types::JobKey;

use crate::{NotAccepted, Outcome, RefusalReason, TombstoneKind};

/// Time after which a member that was not ready may be asked again.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The member can't decide about the key now; another try with the same key is safe.
pub(crate) fn not_ready(detail: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::NotReady,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(NOT_READY_RETRY_DELAY),
        detail: detail.to_owned(),
    }
}

/// The key was used with another body; the body of this submission was not run.
pub(crate) fn key_reused() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::KeyReused,
        outcome: Outcome::NotRun,
        retry_after: None,
        detail: "the idempotency key was used before with another body".to_owned(),
    }
}

/// An earlier try with the key may have been lost with the records.
pub(crate) fn history_lost() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HistoryLost,
        outcome: Outcome::MayHaveRun,
        retry_after: None,
        detail: "an earlier try may have been lost with the records of the data centre".to_owned(),
    }
}

/// The key was never seen here and will never be run here.
pub(crate) fn renounced() -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::UnknownKey,
        outcome: Outcome::NotRun,
        retry_after: None,
        detail: "the key was not run in this data centre and never will be".to_owned(),
    }
}

/// The answer is no longer kept, only its outcome.
pub(crate) fn tombstoned(kind: TombstoneKind) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HistoryLost,
        outcome: kind.outcome(),
        retry_after: None,
        detail: match kind {
            TombstoneKind::Ended(_) => {
                "the answer of an earlier try with this key is no longer kept".to_owned()
            }
            TombstoneKind::Renounced => "the key was left to another data centre".to_owned(),
        },
    }
}

/// The key is not known. A submission with it may be on its way or long forgotten.
pub(crate) fn unknown_key(key: &JobKey) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::UnknownKey,
        outcome: Outcome::MayHaveRun,
        retry_after: None,
        detail: format!("no job with key {key} is known here"),
    }
}
