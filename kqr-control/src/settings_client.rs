use std::time::Duration;

use kqr_settings::{Answer, Command, Version};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use tonic::Status;

use crate::{
    leader_client::LeaderClient,
    request::{ChangeResult, ConfirmResult, Request},
};

/// Timeout of a change or a confirmation, including its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Client of the settings log. Sends requests to the local driver, and to the leader if another instance
/// leads.
#[derive(Clone, Debug)]
pub struct SettingsClient {
    driver: mpsc::Sender<Request>,
    leader: LeaderClient,
}

impl SettingsClient {
    /// Creates a client of the local `driver` that reaches other control instances through `leader`.
    pub fn new(driver: mpsc::Sender<Request>, leader: LeaderClient) -> Self {
        Self { driver, leader }
    }

    /// Submits `command` to the leader and retries until it is answered. Retries are safe, because a change
    /// id is answered only once.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if there is no answer in time. The message says whether the change may be
    /// accepted.
    pub async fn submit(&self, command: Command) -> Result<Answer, Status> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        let mut may_be_accepted = false;
        while Instant::now() < end {
            match tokio::time::timeout_at(end, self.propose(command.clone())).await {
                Ok(Ok(ChangeResult::Answered(answer))) => return Ok(answer),
                Ok(Ok(ChangeResult::NotLeader(Some(leader)))) => {
                    let forwarded = self.leader.forward(&leader, command.clone()).await;
                    match forwarded {
                        Ok(answer) => return Ok(answer),
                        Err(status) if is_not_proposed(&status) => {}
                        Err(_) => may_be_accepted = true,
                    }
                }
                Ok(Ok(ChangeResult::NotLeader(None))) => {}
                Ok(Ok(ChangeResult::Unknown)) | Err(_) => may_be_accepted = true,
                Ok(Err(status)) => return Err(status),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(no_quorum_error(may_be_accepted))
    }

    /// Proposes `command` at this instance, without forwarding it to the leader.
    ///
    /// # Errors
    ///
    /// Returns `failed-precondition` if this instance does not lead, and `unavailable` if the change may be
    /// accepted.
    pub async fn submit_locally(&self, command: Command) -> Result<Answer, Status> {
        match tokio::time::timeout(REQUEST_TIMEOUT, self.propose(command)).await {
            Ok(Ok(ChangeResult::Answered(answer))) => Ok(answer),
            Ok(Ok(ChangeResult::NotLeader(_))) => {
                Err(Status::failed_precondition("this instance does not lead"))
            }
            Ok(Err(status)) => Err(status),
            Ok(Ok(ChangeResult::Unknown)) | Err(_) => Err(no_quorum_error(true)),
        }
    }

    /// Returns the highest accepted version after a quorum has confirmed it.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if no quorum confirmed it in time.
    pub async fn confirm_version(&self) -> Result<Version, Status> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < end {
            match tokio::time::timeout_at(end, self.request_confirmation()).await {
                Ok(Ok(ConfirmResult::Confirmed(version))) => return Ok(version),
                Ok(Ok(ConfirmResult::Unconfirmed(Some(leader)))) => {
                    if let Ok(version) = self.leader.confirm_version(&leader).await {
                        return Ok(version);
                    }
                }
                Ok(Ok(ConfirmResult::Unconfirmed(None))) | Err(_) => {}
                Ok(Err(status)) => return Err(status),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(Status::unavailable(
            "no quorum confirmed the highest version in time; --stale reads the version of a single instance",
        ))
    }

    /// Returns the highest accepted version after a quorum has confirmed it to this instance.
    ///
    /// # Errors
    ///
    /// Returns `failed-precondition` if this instance does not lead, and `unavailable` if no quorum answers
    /// in time.
    pub async fn confirm_version_locally(&self) -> Result<Version, Status> {
        match tokio::time::timeout(REQUEST_TIMEOUT, self.request_confirmation()).await {
            Ok(Ok(ConfirmResult::Confirmed(version))) => Ok(version),
            Ok(Ok(ConfirmResult::Unconfirmed(_))) => {
                Err(Status::failed_precondition("this instance does not lead"))
            }
            Ok(Err(status)) => Err(status),
            Err(_) => Err(Status::unavailable("no quorum answers")),
        }
    }

    async fn propose(&self, command: Command) -> Result<ChangeResult, Status> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Change { command, reply }, rx).await
    }

    async fn request_confirmation(&self) -> Result<ConfirmResult, Status> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Confirm { reply }, rx).await
    }

    /// Waits until this instance has applied the highest accepted version.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if no quorum confirmed the version, or if this instance has not applied it in
    /// time.
    pub async fn catch_up(&self) -> Result<(), Status> {
        let highest = self.confirm_version().await?;
        let end = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < end {
            let (reply, rx) = oneshot::channel();
            let status = self.call(Request::Status { reply }, rx).await?;
            if status.version >= highest.0 {
                return Ok(());
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(Status::unavailable(format!(
            "this instance did not apply version {highest} in time"
        )))
    }

    /// Sends `request` to the driver without waiting for its result.
    pub async fn send(&self, request: Request) {
        drop(self.driver.send(request).await);
    }

    /// Sends `request` to the driver and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if the instance is stopping.
    pub async fn call<Reply>(&self, request: Request, rx: oneshot::Receiver<Reply>) -> Result<Reply, Status> {
        let stopping = || Status::unavailable("this instance is stopping");
        self.driver.send(request).await.map_err(|_| stopping())?;
        rx.await.map_err(|_| stopping())
    }
}

/// Returns whether `status` proves that the other instance did not propose the change.
fn is_not_proposed(status: &Status) -> bool {
    matches!(
        status.code(),
        tonic::Code::FailedPrecondition | tonic::Code::NotFound | tonic::Code::Unauthenticated
    ) || status.message().starts_with("connecting to ")
}

fn no_quorum_error(may_be_accepted: bool) -> Status {
    let outcome = if may_be_accepted {
        "the change may have been accepted; retry with the same change id"
    } else {
        "the change was not proposed"
    };
    Status::unavailable(format!("no quorum of control instances answers; {outcome}"))
}
