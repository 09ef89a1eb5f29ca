use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};
use kqr_http::{BodyError, json_response};
use kqr_jobs::{NotAccepted, Outcome, RefusalReason};
use kqr_wire::{callers::ProblemBody, headers};

/// A refusal that is sent to a caller as a problem document (RFC 9457).
#[derive(Debug)]
pub struct Problem {
    body: ProblemBody,
    retry_after: Option<Duration>,
}

impl Problem {
    /// Refuses a request with an invalid `field`; nothing was started.
    pub fn bad_request(field: &str, detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", Some(field), detail.into())
    }

    /// Refuses a request whose `field` names something that does not exist; nothing was started.
    pub fn not_found(field: &str, detail: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not-found", Some(field), detail.into())
    }

    /// Refuses work that was not sent to any target.
    pub fn unavailable(detail: impl Into<String>) -> Self {
        let mut problem = Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            None,
            detail.into(),
        );
        problem.retry_after = Some(Duration::from_secs(1));
        problem
    }

    /// Refuses work that a target may have run.
    pub fn may_have_run(status: StatusCode, detail: impl Into<String>) -> Self {
        let mut problem = Self::new(status, "may-have-run", None, detail.into());
        problem.body.outcome = Outcome::MayHaveRun;
        problem
    }

    /// Sets the outcome to may-have-run, since an earlier try ended without an answer.
    pub fn into_may_have_run(mut self) -> Self {
        self.body.outcome = Outcome::MayHaveRun;
        self
    }

    /// Returns whether the work was run, as far as it is known.
    pub fn outcome(&self) -> Outcome {
        self.body.outcome
    }

    fn new(status: StatusCode, kind: &str, field: Option<&str>, detail: String) -> Self {
        let body = ProblemBody {
            kind: kind.to_owned(),
            status: status.as_u16(),
            detail,
            outcome: Outcome::NotRun,
            field: field.map(str::to_owned),
        };
        Self {
            body,
            retry_after: None,
        }
    }

    /// Builds the HTTP response.
    pub fn into_reply(self) -> Response<Full<Bytes>> {
        let status = StatusCode::from_u16(self.body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut reply = json_response(status, headers::PROBLEM_JSON, &self.body);
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs().max(1);
            reply
                .headers_mut()
                .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
        }
        reply
    }
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        let status = match &error {
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TimedOut(_) => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete(_) | BodyError::Malformed(_) => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::new(status, "bad-body", Some("body"), error.to_string())
    }
}

impl From<NotAccepted> for Problem {
    fn from(refusal: NotAccepted) -> Self {
        let (status, kind, field) = match refusal.reason {
            RefusalReason::KeyReused => (StatusCode::CONFLICT, "key-reused", Some(headers::IDEMPOTENCY_KEY)),
            RefusalReason::UnknownKey => (StatusCode::NOT_FOUND, "unknown-key", Some("key")),
            RefusalReason::NoSuitableTarget => (StatusCode::UNPROCESSABLE_ENTITY, "no-suitable-target", None),
            RefusalReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded", None),
            RefusalReason::QuotaExceeded => (StatusCode::TOO_MANY_REQUESTS, "quota-exceeded", None),
            RefusalReason::HomeUnreachable => (StatusCode::SERVICE_UNAVAILABLE, "home-unreachable", None),
            RefusalReason::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready", None),
            RefusalReason::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, "shutting-down", None),
            RefusalReason::HistoryLost => (StatusCode::CONFLICT, "history-lost", None),
        };
        let mut problem = Self::new(status, kind, field, refusal.detail);
        problem.body.outcome = refusal.outcome;
        problem.retry_after = refusal.retry_after;
        problem
    }
}
