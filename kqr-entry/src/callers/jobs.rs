use std::{str::FromStr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use kqr_http::{BodyError, BodyLimits, json_response, read_body};
use kqr_jobs::{JobState, Outcome, Submission, TaskSpec};
use kqr_settings::schema::ServiceSettings;
use kqr_telemetry::{AnswerClass, EventKind, WorkKind};
use kqr_types::{Attempt, JobKey, TeamName};
use kqr_wire::{
    callers::{JobAnswerBody, JobBody},
    headers,
    siblings::JobCall,
};
use percent_encoding::percent_decode_str;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::problem::Problem;
use crate::{engine::Answer, entry::Entry, live_settings::SettingsSnapshot};

/// Longest time to read the body of a submission.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Team of a submission without a team header.
const DEFAULT_TEAM: &str = "default";

type Reply = Result<Response<Full<Bytes>>, Problem>;

/// Answers `POST /v1/jobs`.
pub async fn submit(entry: &Entry, req: Request<Incoming>) -> Reply {
    let is_waiting = parse_wait(req.uri().query())?;
    let (parts, body) = req.into_parts();
    let settings = entry.settings.current();
    let submission = parse_submission(&settings, &parts.headers, body).await?;
    if submission.attempt.is_none() && entry.is_marked(&submission) {
        let detail = format!("the team {} must number its tries from 1", submission.team);
        return Err(Problem::bad_request(headers::ATTEMPT, detail));
    }
    let service = &submission.service;
    if !entry.engine.table.serves(service) && !settings.names_service(service) {
        let detail = format!("no target serves {}", submission.service);
        return Err(Problem::not_found("service", detail));
    }
    let mut event = entry.engine.events.new_event(EventKind::Submitted);
    event.key = Some(submission.key.clone());
    entry.engine.events.record(event);
    let key = submission.key.clone();
    let started = Instant::now();
    let deadline = submission.deadline;
    let ideal = submission.tasks.iter().filter_map(|task| task.run_time).max();
    let answer = entry.submit(submission, is_waiting).await;
    let mut event = entry.engine.events.new_event(EventKind::Answered);
    event.key = Some(key);
    event.detail = answer.as_ref().err().map(ToString::to_string);
    entry.engine.events.record(event);
    if is_waiting {
        record_response(entry, &answer, started.elapsed(), deadline, ideal);
    }
    build_reply(answer)
}

/// Records the metrics of an answered submission. `ideal` is the longest declared run time of its tasks.
fn record_response(
    entry: &Entry,
    answer: &Answer,
    response: Duration,
    deadline: Duration,
    ideal: Option<Duration>,
) {
    let outcome = match answer {
        Ok(answer) if answer.state == JobState::Complete => None,
        Ok(answer) => Some(answer.outcome()),
        Err(refusal) => Some(refusal.outcome),
    };
    let class = match outcome {
        None if response <= deadline => AnswerClass::InTime,
        None => AnswerClass::Late,
        Some(Outcome::NotRun) => AnswerClass::NotRun,
        Some(Outcome::MayHaveRun) => AnswerClass::MayHaveRun,
        Some(Outcome::Ran) => AnswerClass::Ran,
    };
    let metrics = &entry.engine.metrics;
    metrics.record_answer(WorkKind::Job, class, response);
    if let (None, Some(ideal)) = (outcome, ideal) {
        metrics.record_over_ideal(response, ideal);
    }
}

/// Answers `GET /v1/jobs/{key}`.
pub async fn lookup(entry: &Entry, key: &str) -> Reply {
    build_reply(entry.find(JobCall::Lookup(parse_key(key)?)).await)
}

/// Answers `DELETE /v1/jobs/{key}`.
pub async fn cancel(entry: &Entry, key: &str) -> Reply {
    build_reply(entry.find(JobCall::Cancel(parse_key(key)?)).await)
}

fn build_reply(answer: Answer) -> Reply {
    let answer = answer?;
    let status = match (answer.state, answer.outcome()) {
        (JobState::Complete | JobState::Cancelled, _) => StatusCode::OK,
        (JobState::Running, _) => StatusCode::ACCEPTED,
        (JobState::Failed, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (JobState::Failed, Outcome::MayHaveRun | Outcome::Ran) => StatusCode::BAD_GATEWAY,
    };
    Ok(json_response(
        status,
        "application/json",
        &JobAnswerBody::from(answer),
    ))
}

fn parse_wait(query: Option<&str>) -> Result<bool, Problem> {
    match query {
        None | Some("" | "wait=true") => Ok(true),
        Some("wait=false") => Ok(false),
        Some(other) => Err(Problem::bad_request(
            "query",
            format!("expected wait=true or wait=false, got {other:?}"),
        )),
    }
}

fn parse_key(text: &str) -> Result<JobKey, Problem> {
    let decoded = percent_decode_str(text).decode_utf8();
    let decoded = decoded.map_err(|_| Problem::bad_request("key", "the key is not valid UTF-8"))?;
    decoded
        .parse()
        .map_err(|error: kqr_types::ParseError| Problem::bad_request("key", error.to_string()))
}

async fn parse_submission(
    settings: &SettingsSnapshot,
    fields: &HeaderMap,
    body: Incoming,
) -> Result<Submission, Problem> {
    let key: Option<JobKey> = parse_header(fields, headers::IDEMPOTENCY_KEY)?;
    let key = key.ok_or_else(|| {
        Problem::bad_request(
            headers::IDEMPOTENCY_KEY,
            "the header is missing: expected a key that names the submission",
        )
    })?;
    let attempt: Option<Attempt> = parse_header(fields, headers::ATTEMPT)?;
    if attempt == Some(Attempt(0)) {
        return Err(Problem::bad_request(
            headers::ATTEMPT,
            "expected a whole number from 1",
        ));
    }
    let team: Option<TeamName> = parse_header(fields, headers::TEAM)?;
    let team = match team {
        Some(team) => team,
        None => DEFAULT_TEAM
            .parse()
            .map_err(|_| Problem::bad_request(headers::TEAM, "no default team"))?,
    };
    let limits = BodyLimits {
        max_bytes: settings.data_centre_rules().max_body.0 as usize,
        timeout: BODY_TIMEOUT,
    };
    let bytes = read_body(body, limits).await?;
    let body: JobBody = serde_json::from_slice(&bytes)
        .map_err(|cause| Problem::from(BodyError::Malformed(cause.to_string())))?;
    if body.tasks.is_empty() || body.tasks.len() > Submission::MAX_TASKS {
        let detail = format!(
            "expected 1 to {} tasks, got {}",
            Submission::MAX_TASKS,
            body.tasks.len()
        );
        return Err(Problem::bad_request("tasks", detail));
    }
    let deadline = parse_deadline(settings.service_rules(&body.service), fields)?;
    let fingerprint = xxh3_64(&bytes);
    let mut tasks = Vec::with_capacity(body.tasks.len());
    for task in body.tasks {
        tasks.push(TaskSpec {
            class: task.class,
            payload: task.payload,
            run_time: task.run_time_ms.map(Duration::from_millis),
            cores: task.cores,
            memory: task.memory,
            accelerators: task.accelerators,
        });
    }
    Ok(Submission {
        key,
        attempt,
        team,
        service: body.service,
        deadline,
        fingerprint,
        tasks,
    })
}

/// Parses the deadline header, or returns the default deadline of the service.
///
/// # Errors
///
/// Returns a problem if the deadline is not a number, zero or longer than the service allows.
pub fn parse_deadline(rules: &ServiceSettings, fields: &HeaderMap) -> Result<Duration, Problem> {
    let Some(millis) = parse_header::<u64>(fields, headers::DEADLINE_MS)? else {
        return Ok(rules.deadline.0);
    };
    let deadline = Duration::from_millis(millis);
    let max = rules.max_deadline.0;
    if deadline.is_zero() || deadline > max {
        let detail = format!("expected 1 to {} milliseconds, got {millis}", max.as_millis());
        return Err(Problem::bad_request(headers::DEADLINE_MS, detail));
    }
    Ok(deadline)
}

/// Parses a header field, or returns `None` if it is absent.
///
/// # Errors
///
/// Returns a problem if the value is not visible ASCII or can't be parsed.
pub fn parse_header<T>(fields: &HeaderMap, name: &'static str) -> Result<Option<T>, Problem>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Problem::bad_request(name, "expected visible ASCII characters"))?;
    let parsed = text
        .parse()
        .map_err(|error| Problem::bad_request(name, format!("{error}")))?;
    Ok(Some(parsed))
}
