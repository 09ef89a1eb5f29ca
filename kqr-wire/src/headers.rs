//! Names of the HTTP header fields of the callers' interface.

/// Names a submission; a resubmission carries the same value.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the caller's try, from 1.
pub const ATTEMPT: &str = "kqr-attempt";
/// Time that the caller is willing to wait, in milliseconds.
pub const DEADLINE_MS: &str = "kqr-deadline-ms";
/// Team that the work is counted for.
pub const TEAM: &str = "kqr-team";
/// Whether a relayed request is idempotent: `true` or `false`.
pub const IDEMPOTENT: &str = "kqr-idempotent";
/// Identity of the attempt that an answer belongs to.
pub const ATTEMPT_ID: &str = "kqr-attempt-id";
/// Media type of refusals.
pub const PROBLEM_JSON: &str = "application/problem+json";
