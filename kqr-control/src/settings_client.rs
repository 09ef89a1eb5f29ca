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

/// Longest time for a change or a confirmation.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait before the next try.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Takes changes to the leader, wherever it is.
#[derive(Clone, Debug)]
pub struct SettingsClient {
    driver: mpsc::Sender<Request>,
    leader: LeaderClient,
}

impl SettingsClient {
    /// Creates the way over the own node and the other control instances.
    pub fn new(driver: mpsc::Sender<Request>, leader: LeaderClient) -> Self {
        Self { driver, leader }
    }

    /// Asks for `command` until it has an answer. Trying again is safe: the change id is answered once.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if there is no answer in time. The message tells whether the change may be accepted.
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

    /// Proposes `command` at this instance only.
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

    /// Returns the highest accepted version after a quorum confirmed it.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if no quorum confirmed it in time.
    pub async fn confirm_version(&self) -> Result<Version, Status> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        while Instant::now() < end {
            match tokio::time::timeout_at(end, self.request_confirmation()).await {
                Ok(Ok(ConfirmResult::Confirmed(version))) => return Ok(version),
                Ok(Ok(ConfirmResult::NotHere(Some(leader)))) => {
                    if let Ok(version) = self.leader.confirm_version(&leader).await {
                        return Ok(version);
                    }
                }
                Ok(Ok(ConfirmResult::NotHere(None))) | Err(_) => {}
                Ok(Err(status)) => return Err(status),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(Status::unavailable(
            "no quorum confirmed the highest version in time; what one instance has can be read with --stale",
        ))
    }

    /// Returns the highest accepted version if this instance leads.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not lead or no quorum answers in time.
    pub async fn confirm_version_locally(&self) -> Result<Version, Status> {
        match tokio::time::timeout(REQUEST_TIMEOUT, self.request_confirmation()).await {
            Ok(Ok(ConfirmResult::Confirmed(version))) => Ok(version),
            Ok(Ok(ConfirmResult::NotHere(_))) => {
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

    /// Waits until this instance has the highest accepted version.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if no quorum confirmed the version, or if this instance does not get it in time.
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
            "this instance does not get version {highest} in time"
        )))
    }

    /// Sends `request` to the driver without waiting for an effect.
    pub async fn send(&self, request: Request) {
        drop(self.driver.send(request).await);
    }

    /// Sends `request` to the driver and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance stops.
    pub async fn call<Reply>(&self, request: Request, rx: oneshot::Receiver<Reply>) -> Result<Reply, Status> {
        let stopping = || Status::unavailable("this instance stops");
        self.driver.send(request).await.map_err(|_| stopping())?;
        rx.await.map_err(|_| stopping())
    }
}

/// Returns whether the other instance did not propose the change.
fn is_not_proposed(status: &Status) -> bool {
    matches!(
        status.code(),
        tonic::Code::FailedPrecondition | tonic::Code::NotFound | tonic::Code::Unauthenticated
    ) || status.message().starts_with("connecting to ")
}

fn no_quorum_error(may_be_accepted: bool) -> Status {
    let outcome = if may_be_accepted {
        "the change may or may not be accepted: send it again with the same change id"
    } else {
        "the change was not proposed"
    };
    Status::unavailable(format!("no quorum of control instances answers; {outcome}"))
}
