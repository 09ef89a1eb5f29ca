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

/// Run time assumed for a task that declares none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(500);
/// Lower bound of the timeout of a start, after which the attempt is queried on another connection.
const MIN_START_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a start as a multiple of the expected run time.
const START_TIMEOUT_FACTOR: u32 = 4;
/// Longest time that the target waits for the end of an attempt before it answers a query.
const QUERY_WAIT: Duration = Duration::from_secs(1);
/// Timeout of one request about an attempt.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a query is repeated that gave no final answer.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The client that starts tasks at targets and determines how they ended.
#[derive(Debug)]
pub struct TaskClient {
    /// Client that reuses connections.
    pooled: Client,
    /// Client that opens a connection for each request.
    unpooled: Client,
}

impl TaskClient {
    /// Creates the client.
    pub fn new() -> Self {
        let options = ClientOptions::default();
        // A query about a lost start must not use a pooled connection, which may be silent as well.
        let unpooled = ClientOptions {
            idle_timeout: Duration::ZERO,
            ..options
        };
        Self {
            pooled: Client::new(options),
            unpooled: Client::new(unpooled),
        }
    }

    /// Starts an attempt and returns how it ended. The start is sent once. An attempt that exceeds its time
    /// limit is stopped and abandoned.
    pub async fn run(&self, engine: &Arc<Engine>, start: &StartTask) -> TaskEnd {
        let limit = engine.attempt_timeout(&start.key, start.attempt.task);
        if let Ok(end) = tokio::time::timeout(limit, self.start(engine, start)).await {
            return end;
        }
        TaskEnd {
            key: start.key.clone(),
            attempt: start.attempt,
            result: self.abandon(engine, &QueriedAttempt::of(start), limit).await,
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
        let timeout = MIN_START_TIMEOUT.max(expected * START_TIMEOUT_FACTOR);
        let sent = self
            .pooled
            .send_json(Method::POST, uri, Some(&start_body(engine, start)), timeout)
            .await;
        let answer = match sent {
            Ok((status, bytes)) => parse_attempt(status, &bytes),
            Err(ClientError::NotSent(cause) | ClientError::Refused(cause)) => {
                return end(TaskResult::NotStarted(cause), None);
            }
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
            engine.metrics.count_wasted_message(WastedMessage::Refusal);
        }
        let run_time = Duration::from_micros(answer.run_time_us);
        end(task_result(answer), Some(run_time))
    }

    /// Determines the result of an attempt that another instance may have started.
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
        let resolving = self.resolve(engine, &queried, "its former home was lost");
        let result = match tokio::time::timeout(limit, resolving).await {
            Ok(result) => result,
            Err(_) => self.abandon(engine, &queried, limit).await,
        };
        TaskEnd {
            key,
            attempt,
            result,
            run_time: None,
        }
    }

    /// Stops an attempt. Its result arrives as the response to its start.
    pub async fn stop(&self, engine: &Arc<Engine>, attempt: AttemptId, target: &TargetId) {
        let Some(target) = engine.table.get(target) else {
            return;
        };
        if let Err(cause) = self.stop_attempt(&target, attempt).await {
            log::warn!(
                "failed to stop attempt {attempt} at target {}: {cause}",
                target.announcement.id
            );
        }
    }

    /// Throttles an attempt, so that short tasks are not delayed by it.
    pub async fn throttle(&self, engine: &Arc<Engine>, attempt: AttemptId, target: &TargetId) {
        let Some(target) = engine.table.get(target) else {
            return;
        };
        let path = format!("/v1/tasks/{attempt}/throttle");
        if let Err(cause) = self.send_request(Method::POST, &target, &path).await {
            log::debug!(
                "failed to throttle attempt {attempt} at target {}: {cause}",
                target.announcement.id
            );
        }
    }

    /// Determines the result of an attempt whose start got no usable response. An attempt that the target has
    /// never seen is fenced, so that the target refuses a late start. The result is unknown if the
    /// incarnation of the target has ended.
    async fn resolve(&self, engine: &Engine, queried: &QueriedAttempt, cause: &str) -> TaskResult {
        let QueriedAttempt {
            attempt,
            target: id,
            incarnation,
        } = queried;
        log::info!("querying attempt {attempt} at target {id}: {cause}");
        let started = Instant::now();
        loop {
            match engine.table.get(id) {
                Some(target) if target.announcement.incarnation == *incarnation => {
                    engine.metrics.count_wasted_message(WastedMessage::Question);
                    match self.query_or_fence(&target, *attempt).await {
                        Ok(answer) if answer.state == AttemptState::Running => continue,
                        Ok(answer) if queried.is_answered_by(&answer) => return task_result(answer),
                        Ok(_) => log::debug!("target {id} answered {attempt} for another incarnation"),
                        Err(cause) => log::debug!("failed to query {attempt} at target {id}: {cause}"),
                    }
                }
                Some(target) if target.announcement.incarnation > *incarnation => {
                    return TaskResult::Unknown(format!("target {id} has restarted: {cause}"));
                }
                // The announcement of the target may not have reached this entry yet.
                Some(_) | None if started.elapsed() < kqr_directory::EXPIRE_AFTER => {}
                Some(_) | None => return TaskResult::Unknown(format!("target {id} is gone: {cause}")),
            }
            tokio::time::sleep(QUERY_RETRY_DELAY).await;
        }
    }

    /// Stops an attempt that did not end within `limit`. The result is unknown if the target does not return
    /// it.
    async fn abandon(&self, engine: &Engine, queried: &QueriedAttempt, limit: Duration) -> TaskResult {
        let QueriedAttempt {
            attempt, target: id, ..
        } = queried;
        log::warn!("abandoning attempt {attempt} at target {id}: it did not end within {limit:?}");
        if let Some(target) = engine.table.get(id) {
            engine.metrics.count_wasted_message(WastedMessage::Question);
            match self.stop_attempt(&target, *attempt).await {
                Ok(answer) if queried.is_answered_by(&answer) => return task_result(answer),
                Ok(_) => {}
                Err(cause) => log::warn!("failed to stop attempt {attempt} at target {id}: {cause}"),
            }
        }
        TaskResult::Unknown(format!(
            "target {id} did not end the task within {} ms",
            limit.as_millis()
        ))
    }

    /// Queries an attempt, and stops one that the target has never seen, which makes the target refuse a late
    /// start.
    async fn query_or_fence(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        let answer = self.query_attempt(target, attempt).await?;
        if answer.state == AttemptState::NeverSeen {
            return self.stop_attempt(target, attempt).await;
        }
        Ok(answer)
    }

    async fn query_attempt(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        let path = format!("/v1/tasks/{attempt}?wait_ms={}", QUERY_WAIT.as_millis());
        self.send_request(Method::GET, target, &path).await
    }

    async fn stop_attempt(&self, target: &Target, attempt: AttemptId) -> Result<AttemptBody, String> {
        self.send_request(Method::POST, target, &format!("/v1/tasks/{attempt}/stop"))
            .await
    }

    async fn send_request(&self, method: Method, target: &Target, path: &str) -> Result<AttemptBody, String> {
        let uri = target_uri(target, path).ok_or("no usable address")?;
        let answered = self
            .unpooled
            .send_json::<()>(method, uri, None, QUERY_TIMEOUT)
            .await;
        let (status, bytes) = answered.map_err(|error| error.to_string())?;
        parse_attempt(status, &bytes)
    }
}

/// An attempt whose result is queried.
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

    /// Returns whether `answer` is final and belongs to this attempt and incarnation of the target.
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
    serde_json::from_slice(bytes).map_err(|error| format!("status {status} with an invalid body: {error}"))
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
