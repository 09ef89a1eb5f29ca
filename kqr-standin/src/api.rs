use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kqr_http::{BodyLimits, json_response, read_body, read_json, text_response};
use kqr_placement::Announcement;
use kqr_types::{AttemptId, Slots};
use kqr_wire::targets::{AttemptBody, AttemptState, StartBody};
use serde::{Deserialize, Serialize};

use crate::{
    attempts::{Attempts, StartsBody},
    behaviour::Behaviour,
    options::Options,
};

/// Largest body that the stand-in accepts.
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 4 << 20,
    timeout: Duration::from_secs(10),
};
/// Time that a silent stand-in holds a request.
const SILENCE: Duration = Duration::from_secs(3600);
/// Longest time that a question about an attempt may wait for its end.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time between two looks at an attempt that is waited for.
const WAIT_STEP: Duration = Duration::from_millis(10);

type Reply = Response<Full<Bytes>>;

/// What the payload of a task tells the stand-in to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskPayload {
    /// Run time at speed 1, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Text that the result repeats.
    #[serde(default)]
    pub echo: String,
}

/// State of the stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Command line.
    pub options: Options,
    address: SocketAddr,
    attempts: Attempts,
    behaviour: Mutex<Behaviour>,
    used: AtomicU32,
    answers: AtomicU64,
    requests: AtomicU64,
    open_peers: Mutex<BTreeSet<SocketAddr>>,
    silent_peers: Mutex<BTreeSet<SocketAddr>>,
}

impl Standin {
    /// Creates the state of a stand-in that listens on `address`.
    pub fn new(options: Options, address: SocketAddr) -> Self {
        Self {
            attempts: Attempts::new(options.incarnation),
            options,
            address,
            behaviour: Mutex::default(),
            used: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            open_peers: Mutex::default(),
            silent_peers: Mutex::default(),
        }
    }

    /// Returns the present faults.
    pub fn behaviour(&self) -> Behaviour {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the faults.
    pub fn behave(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    /// Returns the starts so far.
    pub fn starts(&self) -> StartsBody {
        self.attempts.starts()
    }

    /// Returns the number of requests that arrived, tasks aside.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Lets each connection that is open now go silent for good, while new ones are served.
    pub fn silence_open_connections(&self) {
        let open = lock(&self.open_peers).clone();
        lock(&self.silent_peers).extend(open);
    }

    fn is_silent(&self, peer: SocketAddr) -> bool {
        lock(&self.open_peers).insert(peer);
        self.behaviour().is_silent || lock(&self.silent_peers).contains(&peer)
    }

    /// Returns what the target tells of itself.
    pub fn announcement(&self) -> Announcement {
        let options = &self.options;
        Announcement {
            id: options.id.clone(),
            incarnation: options.incarnation,
            kind: options.kind,
            service: options.service.clone(),
            address: self.address,
            slots: Slots(options.slots),
            connections: options.connections,
            rack: options.rack.clone(),
            cores: options.cores,
            memory: options.memory,
            accelerators: options.accelerators,
        }
    }

    fn take_slot(&self) -> bool {
        let step = |used: u32| (used < self.options.slots).then_some(used + 1);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .is_ok()
    }

    fn run_time(&self, payload: &TaskPayload) -> Duration {
        let slow = self.behaviour().slow_factor;
        let factor = if slow > 0.0 { slow } else { 1.0 };
        Duration::from_millis(payload.run_ms).mul_f64(factor / self.options.speed)
    }
}

/// Answers one request.
pub async fn handle(standin: Arc<Standin>, req: Request<Incoming>, peer: SocketAddr) -> Reply {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    if segments.first() == Some(&"standin") {
        return control(&standin, &segments, req).await;
    }
    if standin.is_silent(peer) {
        tokio::time::sleep(SILENCE).await;
    }
    match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "tasks"]) => {
            // The task must go on when its connection is lost, so it runs apart from the exchange.
            let task = tokio::spawn(start(Arc::clone(&standin), req));
            let reply = task
                .await
                .unwrap_or_else(|_| text_response(StatusCode::INTERNAL_SERVER_ERROR, "task panicked"));
            hold_back(&standin, reply).await
        }
        (&Method::GET, ["v1", "tasks", attempt]) => state(&standin, attempt, req.uri().query()).await,
        (&Method::POST, ["v1", "tasks", attempt, action]) => act(&standin, attempt, action),
        _ => echo(&standin, req).await,
    }
}

async fn control(standin: &Standin, segments: &[&str], req: Request<Incoming>) -> Reply {
    match (req.method(), segments) {
        (&Method::GET, ["standin", "starts"]) => {
            json_response(StatusCode::OK, "application/json", &standin.attempts.starts())
        }
        (&Method::POST, ["standin", "silence"]) => {
            standin.silence_open_connections();
            text_response(StatusCode::OK, "ok")
        }
        (&Method::PUT, ["standin", "behaviour"]) => {
            match read_json::<Behaviour, _>(req.into_body(), LIMITS).await {
                Ok(behaviour) => {
                    standin.behave(behaviour);
                    text_response(StatusCode::OK, "ok")
                }
                Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

async fn start(standin: Arc<Standin>, req: Request<Incoming>) -> Reply {
    let start: StartBody = match read_json(req.into_body(), LIMITS).await {
        Ok(start) => start,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let Ok(attempt) = start.attempt_id.parse::<AttemptId>() else {
        return text_response(StatusCode::BAD_REQUEST, "attempt_id is malformed");
    };
    if start.incarnation != standin.options.incarnation {
        let answer = standin
            .attempts
            .refuse(attempt, "the attempt is meant for another life of this target");
        return json_response(StatusCode::CONFLICT, "application/json", &answer);
    }
    let behaviour = standin.behaviour();
    if behaviour.refuses || behaviour.drains {
        let answer = standin.attempts.refuse(attempt, "refused");
        return json_response(StatusCode::TOO_MANY_REQUESTS, "application/json", &answer);
    }
    if !standin.take_slot() {
        let answer = standin.attempts.refuse(attempt, "no free slot");
        return json_response(StatusCode::TOO_MANY_REQUESTS, "application/json", &answer);
    }
    let answer = match standin.attempts.start(attempt) {
        Ok(()) => run(&standin, &start, attempt, behaviour.fails_everything).await,
        Err(known) => known,
    };
    standin.used.fetch_sub(1, Ordering::AcqRel);
    let status = if answer.state == AttemptState::NotStarted {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    json_response(status, "application/json", &answer)
}

async fn run(standin: &Standin, start: &StartBody, attempt: AttemptId, is_failing: bool) -> AttemptBody {
    let payload = serde_json::from_str::<TaskPayload>(&start.payload);
    let payload = payload.unwrap_or(TaskPayload {
        run_ms: 0,
        echo: start.payload.clone(),
    });
    let run_time = standin.run_time(&payload);
    let mut ended = standin.attempts.body(attempt, AttemptState::Completed);
    if is_failing {
        ended.state = AttemptState::Failed;
        ended.reason = Some("told to fail".to_owned());
        return standin.attempts.finish(ended);
    }
    tokio::time::sleep(run_time).await;
    ended.run_time_us = run_time.as_micros() as u64;
    ended.result = Some(format!("{}#{}:{}", start.key, start.task, payload.echo));
    standin.attempts.finish(ended)
}

async fn state(standin: &Standin, attempt: &str, query: Option<&str>) -> Reply {
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return text_response(StatusCode::BAD_REQUEST, "the attempt id is malformed");
    };
    let wait_ms = query
        .and_then(|query| query.strip_prefix("wait_ms="))
        .and_then(|text| text.parse().ok());
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let until = tokio::time::Instant::now() + wait;
    let mut answer = standin.attempts.state(attempt);
    while answer.state == AttemptState::Running && tokio::time::Instant::now() < until {
        tokio::time::sleep(WAIT_STEP).await;
        answer = standin.attempts.state(attempt);
    }
    json_response(StatusCode::OK, "application/json", &answer)
}

fn act(standin: &Standin, attempt: &str, action: &str) -> Reply {
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return text_response(StatusCode::BAD_REQUEST, "the attempt id is malformed");
    };
    match action {
        "stop" => json_response(
            StatusCode::OK,
            "application/json",
            &standin.attempts.stop(attempt),
        ),
        "checkpoint" | "throttle" => json_response(
            StatusCode::OK,
            "application/json",
            &standin.attempts.state(attempt),
        ),
        _ => text_response(StatusCode::NOT_FOUND, "expected stop, checkpoint or throttle"),
    }
}

/// Delays or loses an answer as the stand-in was told.
async fn hold_back(standin: &Standin, reply: Reply) -> Reply {
    let behaviour = standin.behaviour();
    tokio::time::sleep(Duration::from_millis(behaviour.late_ms)).await;
    let answers = standin.answers.fetch_add(1, Ordering::Relaxed) + 1;
    if behaviour.loses_every > 0 && answers.is_multiple_of(behaviour.loses_every) {
        tokio::time::sleep(SILENCE).await;
    }
    reply
}

async fn echo(standin: &Standin, req: Request<Incoming>) -> Reply {
    standin.requests.fetch_add(1, Ordering::Relaxed);
    if !standin.take_slot() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no free slot");
    }
    let _slot = UsedSlot(standin);
    let line = format!("{} {}", req.method(), req.uri());
    standin.attempts.requested(req.uri().to_string());
    match read_body(req.into_body(), LIMITS).await {
        Ok(bytes) => {
            let text = format!(
                "{}\n{line}\n{}",
                standin.options.id,
                String::from_utf8_lossy(&bytes)
            );
            hold_back(standin, text_response(StatusCode::OK, text)).await
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// A slot in use, free again when it is dropped.
struct UsedSlot<'a>(&'a Standin);

impl Drop for UsedSlot<'_> {
    fn drop(&mut self) {
        self.0.used.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks `mutex`, also if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
