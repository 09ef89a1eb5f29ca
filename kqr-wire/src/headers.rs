//! HTTP header names and media types of the callers' interface.

/// Key of a submission; a resubmission carries the same value.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the caller's attempt, starting at 1.
pub const ATTEMPT: &str = "kqr-attempt";
/// Maximum time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "kqr-deadline-ms";
/// Team that the work is accounted to.
pub const TEAM: &str = "kqr-team";
/// Whether a relayed request is idempotent: `true` or `false`.
pub const IDEMPOTENT: &str = "kqr-idempotent";
/// Identity of the attempt that an answer belongs to.
pub const ATTEMPT_ID: &str = "kqr-attempt-id";
/// Media type of error responses.
pub const PROBLEM_JSON: &str = "application/problem+json";
