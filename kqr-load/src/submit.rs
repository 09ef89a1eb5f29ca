use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use kqr_jobs::{JobState, Outcome};
use kqr_types::{JobKey, KeyDigest, TaskIndex};
use kqr_wire::{
    callers::{JobAnswerBody, ProblemBody},
    headers,
};

use crate::{
    arrivals::Arrival,
    caller::Caller,
    check,
    ended::{Ended, Ending, Refusal},
    job::Job,
};

/// Time that an exchange may take on top of the deadline.
const EXCHANGE_MARGIN: Duration = Duration::from_secs(3);

type Answer = Result<JobAnswerBody, ProblemBody>;

/// Submits a job, again and elsewhere while its answer is lost or uncertain.
pub async fn submit(
    caller: &Caller,
    arrival: Arrival,
    job: &Job,
    first_entry: usize,
    is_doubled: bool,
) -> Ended {
    caller.begin(&job.key);
    let resubmit = caller.experiment.resubmit;
    let mut refusals = Vec::new();
    let mut last = None;
    let mut tries = 0;
    let mut is_whole = true;
    while tries < resubmit.tries {
        tries += 1;
        let answer = if is_doubled && tries == 1 {
            let first = exchange(caller, job, first_entry, 1);
            let (answer, second) = tokio::join!(first, exchange(caller, job, first_entry + 1, 1));
            is_whole &= is_answer_whole(job, second.as_ref());
            answer.or(second)
        } else {
            exchange(caller, job, first_entry + tries - 1, tries).await
        };
        is_whole &= is_answer_whole(job, answer.as_ref());
        let ending = ending(answer.as_ref());
        if matches!(ending, Ending::NotRun | Ending::MayHaveRun) {
            let at = caller.elapsed();
            refusals.push(Refusal { at, ending });
        }
        let is_final =
            matches!(answer, Some(Ok(_))) || is_client_fault(answer.as_ref()) || ending == Ending::Ran;
        last = answer.or(last);
        if is_final || caller.is_cancelled(&job.key) {
            break;
        }
        tokio::time::sleep(resubmit.pause.0).await;
    }
    Ended {
        phase: arrival.phase,
        due: arrival.at,
        response: caller.elapsed().saturating_sub(arrival.at),
        deadline: job.deadline,
        ideal: job.ideal,
        ending: ending(last.as_ref()),
        is_whole,
        tries,
        tasks: job.body.tasks.len() as u64,
        refusals,
        is_cancelled: caller.end(&job.key),
        not_run: not_run(job, last.as_ref()),
        request: None,
    }
}

/// Sends the cancel of a job to an entry. The answer goes to the caller that submitted it.
pub async fn cancel(caller: &Caller, key: &str, entry: usize) {
    let address = caller.entry(entry, 0);
    let Ok(uri) = format!("http://{address}/v1/jobs/{key}").parse() else {
        return;
    };
    let sent = caller
        .client
        .send_json::<()>(hyper::Method::DELETE, uri, None, EXCHANGE_MARGIN);
    if let Err(error) = sent.await {
        log::debug!("cancelling {key} at {address}: {error}");
    }
}

async fn exchange(caller: &Caller, job: &Job, entry: usize, attempt: usize) -> Option<Answer> {
    let address = caller.entry(entry, 0);
    let body = serde_json::to_vec(&job.body).ok()?;
    let req = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/jobs"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::IDEMPOTENCY_KEY, &job.key)
        .header(headers::ATTEMPT, attempt)
        .header(headers::DEADLINE_MS, job.deadline.as_millis() as u64)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let (_, bytes) = caller
        .client
        .send_and_read(req, job.deadline + EXCHANGE_MARGIN)
        .await
        .ok()?;
    if let Ok(answer) = serde_json::from_slice::<JobAnswerBody>(&bytes) {
        return Some(Ok(answer));
    }
    serde_json::from_slice::<ProblemBody>(&bytes).ok().map(Err)
}

fn is_answer_whole(job: &Job, answer: Option<&Answer>) -> bool {
    match answer {
        Some(Ok(answer)) => check::is_whole(&job.key, &job.body, answer),
        Some(Err(_)) | None => true,
    }
}

fn is_client_fault(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Err(problem)) if problem.status == StatusCode::BAD_REQUEST.as_u16())
}

fn ending(answer: Option<&Answer>) -> Ending {
    let outcome = match answer {
        None => return Ending::Unanswered,
        Some(Ok(answer)) if answer.state == JobState::Complete => return Ending::Complete,
        Some(Ok(answer)) => answer.outcome,
        Some(Err(problem)) => problem.outcome,
    };
    match outcome {
        Outcome::NotRun => Ending::NotRun,
        Outcome::MayHaveRun => Ending::MayHaveRun,
        Outcome::Ran => Ending::Ran,
    }
}

/// Returns the tasks that the last answer tells to be not run.
fn not_run(job: &Job, answer: Option<&Answer>) -> Vec<(KeyDigest, TaskIndex)> {
    let Ok(key) = job.key.parse::<JobKey>() else {
        return Vec::new();
    };
    let digest = KeyDigest::of(&key);
    match answer {
        Some(Ok(answer)) if answer.state != JobState::Complete => {
            let parts = answer.tasks.iter().filter(|part| part.outcome == Outcome::NotRun);
            parts.map(|part| (digest, part.task)).collect()
        }
        Some(Err(problem)) if problem.outcome == Outcome::NotRun => {
            let tasks = 0..job.body.tasks.len() as u16;
            tasks.map(|task| (digest, TaskIndex(task))).collect()
        }
        _ => Vec::new(),
    }
}
