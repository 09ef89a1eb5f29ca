use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode, Uri};
use kqr_http::{Client, ClientError, ClientOptions};
use kqr_jobs::{StartTask, TaskEnd, TaskResult};
use kqr_placement::Target;
use kqr_telemetry::WastedMessage;
use kqr_types::{AttemptId, Incarnation, JobKey, TargetId};
use kqr_wire::targets::{AttemptBody, AttemptState, StartBody};
use tokio::time::Instant;

use crate::engine::Engine;

/// Run time that is assumed for a task without a declared one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(500);
/// Shortest time that an exchange may take before the attempt is asked for on another connection.
const MIN_EXCHANGE_TIME: Duration = Duration::from_secs(2);
/// Multiple of the declared run time that an exchange may take.
const EXCHANGE_FACTOR: u32 = 4;
/// Longest time that a question about an attempt waits for its end.
const QUESTION_WAIT: Duration = Duration::from_secs(1);
/// Longest time for one question.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a question that got no answer.
const QUESTION_PAUSE: Duration = Duration::from_millis(200);

/// The client that starts tasks at targets and finds out how they ended.
#[derive(Debug)]
pub struct Starter {
    pooled: Client,
    fresh: Client,
}

impl Starter {
    /// Creates the client.
    pub fn new() -> Self {
        let options = ClientOptions::default();
        // A question about a lost exchange must not use a connection that may be silent as well.
        let fresh = ClientOptions {
            idle_timeout: Duration::ZERO,
            ..options
        };
        Self {
            pooled: Client::new(options),
            fresh: Client::new(fresh),
        }
    }

    /// Starts an attempt and returns how it ended. The start is sent once. An attempt that does not end in time is
    /// stopped and given up.
    pub async fn run(&self, engine: &Arc<Engine>, start: &StartTask) -> TaskEnd {
        let limit = engine.attempt_timeout(&start.key, start.attempt.task);
        if let Ok(end) = tokio::time::timeout(limit, self.start(engine, start)).await {
            return end;
        }
        TaskEnd {
            key: start.key.clone(),
            attempt: start.attempt,
            result: self.give_up(engine, &QueriedAttempt::of(start), limit).await,
            run_time: None,
        }
    }

    async fn start(&self, engine: &Arc<Engine>, start: &StartTask) -> TaskEnd {
        let end = |result, run_time| TaskEnd {
            key: start.key.clone(),
            attempt: start.attempt,
            result,
            run_time,
        };
        let Some(target) = engine.table.get(&start.target) else {
            return end(
                TaskResult::NotStarted(format!("target {} has left", start.target)),
                None,
            );
        };
        if target.announcement.incarnation != start.incarnation {
            return end(
                TaskResult::NotStarted(format!("target {} has restarted", start.target)),
                None,
            );
        }
        let Some(uri) = target_uri(&target, "/v1/tasks") else {
            return end(
                TaskResult::NotStarted(format!("target {} has no usable address", start.target)),
                None,
            );
        };
        let expected = start
            .spec
            .run_time
            .unwrap_or(DEFAULT_RUN_TIME)
            .div_f64(target.speed(Some(&start.spec.class)));
        let limit = MIN_EXCHANGE_TIME.max(expected * EXCHANGE_FACTOR);
        let sent = self
            .pooled
            .json(Method::POST, uri, Some(&start_body(engine, start)), limit)
            .await;
        let answer = match sent {
            Ok((status, bytes)) => parse_attempt(status, &bytes),
            Err(ClientError::NotSent(cause)) => return end(TaskResult::NotStarted(cause), None),
            Err(ClientError::MaybeSent(cause)) => Err(cause),
        };
        let attempt = QueriedAttempt::of(start);
        let answer = match answer {
            Ok(answer) if attempt.is_answered_by(&answer) => answer,
            Ok(_) => {
                return end(
                    self.resolve(engine, &attempt, "the answer belongs to another attempt")
                        .await,
                    None,
                );
            }
            Err(cause) => return end(self.resolve(engine, &attempt, &cause).await, None),
        };
        if answer.state == AttemptState::NotStarted {
            engine.metrics.wasted(WastedMessage::Refusal);
        }
        let run_time = Duration::from_micros(answer.run_time_us);
        end(task_result(answer), Some(run_time))
    }

    /// Finds out what became of an attempt that another instance may have started.
    pub async fn query(
        &self,
        engine: &Arc<Engine>,
        key: JobKey,
        attempt: AttemptId,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> TaskEnd {
        let queried = QueriedAttempt {
            attempt,
            target: target.clone(),
            incarnation,
        };
        let limit = engine.attempt_timeout(&key, attempt.task);
        let resolving = self.resolve(engine, &queried, "its home was lost");
        let result = match tokio::time::timeout(limit, resolving).await {
            Ok(result) => result,
            Err(_) => self.give_up(engine, &queried, limit).await,
        };
        TaskEnd {
            key,
            attempt,
            result,
            run_time: None,
        }
    }

    /// Stops an attempt; its end arrives through the exchange that started it.
    pub async fn stop(&self, engine: &Arc<Engine>, attempt: AttemptId, target: &TargetId) {
        let Some(target) = engine.table.get(target) else {
            return;
        };
        if let Err(cause) = self.act(&target, attempt).await {
            log::warn!("stopping {attempt} at {}: {cause}", target.announcement.id);
        }
    }

    /// Slows an attempt down, so that short work passes.
    pub async fn throttle(&self, engine: &Arc<Engine>, attempt: AttemptId, target: &TargetId) {
        let Some(target) = engine.table.get(target) else {
            return;
        };
        let path = format!("/v1/tasks/{attempt}/throttle");
        if let Err(cause) = self.question(Method::POST, &target, &path).await {
            log::debug!("throttling {attempt} at {}: {cause}", target.announcement.id);
        }
    }

    /// Finds out how an attempt ended whose exchange was lost. An attempt that never arrived is fenced, so that a
    /// late start is refused by the target. If the life of the target has ended, nothing can be known.
    async fn resolve(&self, engine: &Engine, queried: &QueriedAttempt, cause: &str) -> TaskResult {
        let QueriedAttempt {
            attempt,
            target: id,
            incarnation,
        } = queried;
        log::info!("asking {id} for attempt {attempt}: {cause}");
        let begun = Instant::now();
        loop {
            match engine.table.get(id) {
                Some(target) if target.announcement.incarnation == *incarnation => {
                    engine.metrics.wasted(WastedMessage::Question);
                    match self.ask_or_fence(&target, *attempt).await {
                        Ok(answer) if answer.state == AttemptState::Running => continue,
                        Ok(answer) if queried.is_answered_by(&answer) => return task_result(answer),
                        Ok(_) => log::debug!("{id} answers about attempt {attempt} in another life"),
                        Err(cause) => log::debug!("asking {id} for attempt {attempt}: {cause}"),
                    }
                }
                Some(target) if target.announcement.incarnation > *incarnation => {
                    return TaskResult::Unknown(format!("target {id} has restarted: {cause}"));
                }
                // The announcement of the target may not have arrived here yet.
                Some(_) | None if begun.elapsed() < kqr_directory::EXPIRE_AFTER => {}
                Some(_) | None => return TaskResult::Unknown(format!("target {id} is gone: {cause}")),
            }
            tokio::time::sleep(QUESTION_PAUSE).await;
        }
    }

    /// Stops an attempt that did not end within `limit`. If its target does not tell how it ended, nothing is known.
    async fn give_up(&self, engine: &Engine, queried: &QueriedAttempt, limit: Duration) -> TaskResult {
        let QueriedAttempt {
            attempt, target: id, ..
        } = queried;
        log::warn!("giving up attempt {attempt} at {id}: it did not end within {limit:?}");
        if let Some(target) = engine.table.get(id) {
            engine.metrics.wasted(WastedMessage::Question);
            match self.act(&target, *attempt).await {
                Ok(answer) if queried.is_answered_by(&answer) => return task_result(answer),
                Ok(_) => {}
                Err(cause) => log::warn!("stopping {attempt} at {id}: {cause}"),
            }
        }
        TaskResult::Unknown(format!(
            "target {id} did not end the task within {} ms",
            limit.as_millis()
        ))
    }

    async fn ask_or_fence(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        let answer = self.ask(target, attempt).await?;
        if answer.state == AttemptState::NeverSeen {
            return self.act(target, attempt).await;
        }
        Ok(answer)
    }

    async fn ask(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        let path = format!("/v1/tasks/{attempt}?wait_ms={}", QUESTION_WAIT.as_millis());
        self.question(Method::GET, target, &path).await
    }

    async fn act(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        self.question(Method::POST, target, &format!("/v1/tasks/{attempt}/stop"))
            .await
    }

    async fn question(&self, method: Method, target: &Target, path: &str) -> Result<AttemptBody, String> {
        let uri = target_uri(target, path).ok_or("no usable address")?;
        let answered = self.fresh.json::<()>(method, uri, None, QUESTION_TIMEOUT).await;
        let (status, bytes) = answered.map_err(|error| error.to_string())?;
        parse_attempt(status, &bytes)
    }
}

/// An attempt whose end is to be found out.
#[derive(Debug)]
struct QueriedAttempt {
    attempt: AttemptId,
    target: TargetId,
    incarnation: Incarnation,
}

impl QueriedAttempt {
    fn of(start: &StartTask) -> Self {
        Self {
            attempt: start.attempt,
            target: start.target.clone(),
            incarnation: start.incarnation,
        }
    }

    /// Returns whether `answer` is about this attempt in the same life of the target, and final.
    fn is_answered_by(&self, answer: &AttemptBody) -> bool {
        let is_final = !matches!(answer.state, AttemptState::Running | AttemptState::NeverSeen);
        is_final && answer.attempt_id == self.attempt && answer.incarnation == self.incarnation
    }
}

fn target_uri(target: &Target, path: &str) -> Option<Uri> {
    format!("http://{}{path}", target.announcement.address)
        .parse()
        .ok()
}

fn start_body(engine: &Engine, start: &StartTask) -> StartBody {
    let settings = engine.settings.current();
    let rules = settings.service_rules(&start.service);
    let start_within = rules.start_within.0.min(start.start_within);
    StartBody {
        key: start.key.clone(),
        task: start.attempt.task,
        attempt: start.attempt.attempt,
        attempt_id: start.attempt.to_string(),
        incarnation: start.incarnation,
        service: start.service.clone(),
        class: start.spec.class.clone(),
        payload: start.spec.payload.clone(),
        start_within_ms: start_within.as_millis() as u64,
        lease_ms: rules.task_lease.0.as_millis() as u64,
    }
}

fn parse_attempt(status: StatusCode, bytes: &Bytes) -> Result<AttemptBody, String> {
    serde_json::from_slice(bytes).map_err(|error| format!("status {status} with an unknown body: {error}"))
}

fn task_result(answer: AttemptBody) -> TaskResult {
    let reason = answer.reason.unwrap_or_else(|| "no reason was given".to_owned());
    match answer.state {
        AttemptState::Completed => TaskResult::Completed(answer.result.unwrap_or_default()),
        AttemptState::Failed => TaskResult::Failed(reason),
        AttemptState::NotStarted => TaskResult::NotStarted(reason),
        AttemptState::Running | AttemptState::NeverSeen => TaskResult::Unknown(reason),
    }
}
