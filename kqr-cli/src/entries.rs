use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, Uri};
use kqr_http::{Client, ClientError, ClientOptions};
use kqr_types::JobKey;
use kqr_wire::callers::{JobAnswerBody, ProblemBody};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::{Failure, FailureKind};

/// Characters of a key that can't stand in a path as they are.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Type of the refusal of a key that no job is known by.
const UNKNOWN_KEY: &str = "unknown-key";

/// Which entries are called.
#[derive(Clone, Debug, clap::Args)]
pub struct EntryOptions {
    /// Callers' listener of an entry; give several, separated by commas, and the first that answers is used.
    #[arg(
        long = "entry",
        env = "KQR_ENTRIES",
        value_name = "ADDRESS",
        value_delimiter = ',',
        required = true
    )]
    pub entries: Vec<SocketAddr>,
}

/// Calls about jobs over the callers' interface of the entries.
#[derive(Debug)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    client: Client,
    timeout: Duration,
}

impl Entries {
    /// Prepares calls to the entries that `options` name, each with at most `timeout`.
    pub fn new(options: &EntryOptions, timeout: Duration) -> Self {
        Self {
            addresses: options.entries.clone(),
            client: Client::new(ClientOptions::default()),
            timeout,
        }
    }

    /// Returns the state of the job with `key`.
    ///
    /// # Errors
    ///
    /// Fails if no entry answers, or if the entry refuses the call.
    pub async fn show(&self, key: &JobKey) -> Result<JobAnswerBody, Failure> {
        self.first_answer("looking up the job", &Method::GET, key).await
    }

    /// Cancels the job with `key` and returns its state. A job that has ended stays as it is.
    ///
    /// # Errors
    ///
    /// Fails if no entry answers, or if the entry refuses the call.
    pub async fn cancel(&self, key: &JobKey) -> Result<JobAnswerBody, Failure> {
        self.first_answer("cancelling the job", &Method::DELETE, key)
            .await
    }

    /// Calls one entry after the other. Both calls can be sent again safely.
    async fn first_answer(
        &self,
        step: &'static str,
        method: &Method,
        key: &JobKey,
    ) -> Result<JobAnswerBody, Failure> {
        let mut last = Failure::local(step, "no entry is given".to_owned());
        for &entry in &self.addresses {
            match self.call(step, method, key, entry).await {
                Ok(answer) => return Ok(answer),
                Err(failure) if failure.may_differ_elsewhere() => last = failure,
                Err(failure) => return Err(failure),
            }
        }
        Err(last)
    }

    async fn call(
        &self,
        step: &'static str,
        method: &Method,
        key: &JobKey,
        entry: SocketAddr,
    ) -> Result<JobAnswerBody, Failure> {
        let failure = |kind, detail: String| Failure {
            kind,
            peer: Some(entry.to_string()),
            ..Failure::local(step, detail)
        };
        let path = utf8_percent_encode(key.as_str(), ENCODED);
        let uri: Uri = format!("http://{entry}/v1/jobs/{path}")
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| failure(FailureKind::Other, error.to_string()))?;
        let answered = self
            .client
            .send_json(method.clone(), uri, None::<&()>, self.timeout)
            .await;
        let (status, body) = answered.map_err(|error| {
            let kind = match &error {
                ClientError::NotSent(_) | ClientError::Refused(_) => FailureKind::Unreachable,
                ClientError::MaybeSent(_) => FailureKind::Unavailable,
            };
            failure(kind, error.to_string())
        })?;
        if let Ok(answer) = serde_json::from_slice(&body) {
            return Ok(answer);
        }
        match serde_json::from_slice::<ProblemBody>(&body) {
            Ok(problem) => {
                let detail = format!("{}: {} ({})", problem.kind, problem.detail, problem.outcome);
                Err(failure(kind_of(status, &problem), detail))
            }
            Err(_) => Err(failure(
                FailureKind::Other,
                format!("status {status} without an answer"),
            )),
        }
    }
}

fn kind_of(status: StatusCode, problem: &ProblemBody) -> FailureKind {
    if problem.kind == UNKNOWN_KEY {
        return FailureKind::UnknownJob;
    }
    match status {
        StatusCode::BAD_REQUEST => FailureKind::Invalid,
        StatusCode::SERVICE_UNAVAILABLE => FailureKind::Unavailable,
        _ => FailureKind::Other,
    }
}
