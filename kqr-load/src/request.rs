use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use kqr_jobs::Outcome;
use kqr_wire::{callers::ProblemBody, headers};

use crate::{
    RequestMix,
    arrivals::Arrival,
    caller::Caller,
    ended::{Ended, Ending, Refusal, RequestPath},
};

/// Time that an exchange may take on top of the deadline.
const EXCHANGE_MARGIN: Duration = Duration::from_secs(1);

/// Sends a single request once and checks its answer.
pub async fn request(
    caller: &Caller,
    arrival: Arrival,
    mix: &RequestMix,
    number: u64,
    entry: usize,
) -> Ended {
    let path = format!("/load/{}/{number}", caller.experiment.key_prefix);
    let body = "x".repeat(mix.body_bytes);
    let answer = exchange(caller, mix, &path, &body, entry).await;
    let mut refusals = Vec::new();
    let (ending, is_whole) = match answer {
        None => (Ending::Unanswered, true),
        Some(Ok(text)) => (Ending::Complete, is_echo(&text, &path, &body)),
        Some(Err(outcome)) => (refused(outcome), true),
    };
    if matches!(ending, Ending::NotRun | Ending::MayHaveRun) {
        let at = caller.elapsed();
        refusals.push(Refusal { at, ending });
    }
    let is_idempotent = mix.idempotent;
    Ended {
        phase: arrival.phase,
        due: arrival.at,
        response: caller.elapsed().saturating_sub(arrival.at),
        deadline: mix.deadline.0,
        ideal: Duration::ZERO,
        ending,
        is_whole,
        tries: 1,
        tasks: 0,
        refusals,
        is_cancelled: false,
        not_run: Vec::new(),
        request: Some(RequestPath { path, is_idempotent }),
    }
}

async fn exchange(
    caller: &Caller,
    mix: &RequestMix,
    path: &str,
    body: &str,
    entry: usize,
) -> Option<Result<String, Outcome>> {
    let address = caller.entry(entry, 0);
    let req = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/services/{}{path}", mix.service))
        .header(headers::IDEMPOTENT, mix.idempotent.to_string())
        .header(headers::DEADLINE_MS, mix.deadline.0.as_millis() as u64)
        .body(Full::new(Bytes::from(body.to_owned())))
        .ok()?;
    let (status, bytes) = caller
        .client
        .send_and_read(req, mix.deadline.0 + EXCHANGE_MARGIN)
        .await
        .ok()?;
    if status == StatusCode::OK {
        return Some(Ok(String::from_utf8_lossy(&bytes).into_owned()));
    }
    // An answer that is not a refusal of an entry comes from the target, which has run the request.
    let problem = serde_json::from_slice::<ProblemBody>(&bytes);
    Some(Err(problem.map_or(Outcome::Ran, |problem| problem.outcome)))
}

/// Returns whether the text is the stand-in's answer to this request: its id, the request line and the body.
pub fn is_echo(text: &str, path: &str, body: &str) -> bool {
    let mut parts = text.splitn(3, '\n');
    let _id = parts.next();
    let line = parts.next().unwrap_or_default();
    let is_own = line.strip_prefix("POST ").is_some_and(|target| target == path);
    is_own && parts.next() == Some(body)
}

const fn refused(outcome: Outcome) -> Ending {
    match outcome {
        Outcome::NotRun => Ending::NotRun,
        Outcome::MayHaveRun => Ending::MayHaveRun,
        Outcome::Ran => Ending::Ran,
    }
}
