use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::WrapErr;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use kqr_http::{Client, ClientOptions};
use kqr_jobs::Outcome;
use kqr_types::ByteSize;
use kqr_wire::{
    callers::{JobAnswerBody, JobBody, ProblemBody, TaskBody},
    headers,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::{
    check::{self, Payload},
    options::Options,
    report::Report,
};

/// Part of the run at which the surge begins and ends.
const SURGE: std::ops::Range<f64> = 0.4..0.6;
/// Most tries of one submission.
const MAX_TRIES: usize = 8;
/// Pause before a submission is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Largest value that a histogram records.
const MAX_RECORDED: u64 = 3_600_000_000;
/// Time that an exchange may take on top of the deadline.
const EXCHANGE_MARGIN: Duration = Duration::from_secs(3);

/// One job of the load.
struct Job {
    key: String,
    body: JobBody,
    first_entry: usize,
    due: Instant,
}

/// How one job ended.
struct Ended {
    answer: Option<Result<JobAnswerBody, ProblemBody>>,
    is_whole: bool,
    tries: usize,
    response: Duration,
    ideal: Duration,
    tasks: u64,
}

/// Runs the load and collects the report. Arrivals follow a schedule, whether or not earlier jobs were answered.
///
/// # Errors
///
/// Fails if a stand-in does not tell its starts.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let client = Client::new(ClientOptions::default());
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut at = 0.0;
    let mut jobs = 0_u64;
    while at < options.seconds {
        let job = next_job(options, &mut rng, jobs, started + Duration::from_secs_f64(at));
        tokio::time::sleep_until(job.due.into()).await;
        tokio::spawn(submit(client.clone(), options.clone(), job, tx.clone()));
        jobs += 1;
        let is_surge = SURGE.contains(&(at / options.seconds));
        let rate = options.jobs_per_second * if is_surge { options.surge } else { 1.0 };
        let uniform: f64 = rng.random();
        at += -(1.0 - uniform).ln() / rate;
    }
    drop(tx);
    let mut report = empty_report()?;
    report.jobs = jobs;
    while let Some(ended) = rx.recv().await {
        count(&mut report, &ended);
    }
    report.starts = check::collect_starts(&options.standins).await?;
    Ok(report)
}

fn empty_report() -> eyre::Result<Report> {
    let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED, 3).wrap_err("creating a histogram");
    Ok(Report {
        jobs: 0,
        complete: 0,
        not_run: 0,
        may_have_run: 0,
        ran: 0,
        unanswered: 0,
        partial: 0,
        resubmitted: 0,
        response: histogram()?,
        over_ideal: histogram()?,
        tasks: 0,
        starts: check::Starts::default(),
    })
}

fn next_job(options: &Options, rng: &mut ChaCha8Rng, number: u64, due: Instant) -> Job {
    let key = format!("{}-{number}", options.key_prefix);
    let mut tasks = Vec::new();
    for index in 0..rng.random_range(1..=options.max_tasks) {
        let run_ms = rng.random_range(options.min_run_ms..=options.max_run_ms);
        let payload = Payload {
            run_ms,
            echo: format!("{number}/{index}/{:x}", rng.random::<u32>()),
        };
        tasks.push(TaskBody {
            class: "proof"
                .parse()
                .unwrap_or_else(|_| unreachable!("the class name is valid")),
            payload: serde_json::to_string(&payload).unwrap_or_default(),
            run_time_ms: Some(run_ms),
            cores: 1,
            memory: ByteSize(0),
            accelerators: 0,
        });
    }
    let first_entry = rng.random_range(0..options.entries.len());
    Job {
        key,
        body: JobBody {
            service: options.service.clone(),
            tasks,
        },
        first_entry,
        due,
    }
}

/// Submits a job, again and elsewhere while its answer is lost or uncertain.
async fn submit(client: Client, options: Options, job: Job, tx: mpsc::UnboundedSender<Ended>) {
    let mut last = None;
    let mut tries = 0;
    while tries < MAX_TRIES {
        let entry = options.entries[(job.first_entry + tries) % options.entries.len()];
        tries += 1;
        let answer = exchange(&client, &options, &job, entry, tries).await;
        let is_final = match &answer {
            Some(Ok(_)) => true,
            Some(Err(problem)) => {
                problem.outcome == Outcome::Ran || problem.status == StatusCode::BAD_REQUEST
            }
            None => false,
        };
        last = answer.or(last);
        if is_final {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let is_whole = match &last {
        Some(Ok(answer)) => check::is_whole(&job.key, &job.body, answer),
        Some(Err(_)) | None => true,
    };
    let ideal = job
        .body
        .tasks
        .iter()
        .filter_map(|task| task.run_time_ms)
        .max()
        .unwrap_or(0);
    let _ = tx.send(Ended {
        answer: last,
        is_whole,
        tries,
        response: job.due.elapsed(),
        ideal: Duration::from_millis(ideal),
        tasks: job.body.tasks.len() as u64,
    });
}

async fn exchange(
    client: &Client,
    options: &Options,
    job: &Job,
    entry: SocketAddr,
    attempt: usize,
) -> Option<Result<JobAnswerBody, ProblemBody>> {
    let body = serde_json::to_vec(&job.body).ok()?;
    let req = Request::builder()
        .method("POST")
        .uri(format!("http://{entry}/v1/jobs"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::IDEMPOTENCY_KEY, &job.key)
        .header(headers::ATTEMPT, attempt)
        .header(headers::DEADLINE_MS, options.deadline_ms)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let limit = Duration::from_millis(options.deadline_ms) + EXCHANGE_MARGIN;
    let (_, bytes) = client.whole(req, limit).await.ok()?;
    if let Ok(answer) = serde_json::from_slice::<JobAnswerBody>(&bytes) {
        return Some(Ok(answer));
    }
    serde_json::from_slice::<ProblemBody>(&bytes).ok().map(Err)
}

fn count(report: &mut Report, ended: &Ended) {
    report.tasks += ended.tasks;
    report.resubmitted += ended.tries as u64 - 1;
    report.partial += u64::from(!ended.is_whole);
    let outcome = match &ended.answer {
        None => {
            report.unanswered += 1;
            return;
        }
        Some(Ok(answer)) if answer.state == kqr_jobs::JobState::Complete => {
            report.complete += 1;
            report
                .response
                .saturating_record(ended.response.as_micros() as u64);
            let ratio = ended.response.as_secs_f64() / ended.ideal.as_secs_f64().max(0.001);
            report.over_ideal.saturating_record((ratio * 1000.0) as u64);
            return;
        }
        Some(Ok(answer)) => answer.outcome,
        Some(Err(problem)) => problem.outcome,
    };
    match outcome {
        Outcome::NotRun => report.not_run += 1,
        Outcome::MayHaveRun => report.may_have_run += 1,
        Outcome::Ran => report.ran += 1,
    }
}
