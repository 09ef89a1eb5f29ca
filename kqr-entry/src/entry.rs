use std::{sync::Arc, time::Duration};

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission};
use kqr_placement::Announcement;
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::EventKind;
use kqr_types::{JobKey, TargetId};
use kqr_wire::siblings::SiblingClient;
use tarpc::{client::RpcError, context};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::Relay,
    engine::{Answer, Engine},
    homes::Homes,
    sibling_links::SiblingLinks,
};

/// Time that a sibling has on top of the caller's deadline.
const FORWARD_MARGIN: Duration = Duration::from_secs(5);
/// Longest time for spreading an announcement.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of a running entry.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    pub own: Instance,
    /// Jobs, queue and targets.
    pub engine: Arc<Engine>,
    /// The rule that names the home of each key.
    pub homes: Homes,
    /// Connections to siblings.
    pub links: SiblingLinks,
    /// The client that relays requests.
    pub relay: Relay,
    /// Cancelled when the shutdown begins.
    pub shutdown: CancellationToken,
}

impl Entry {
    /// Submits a job at the home of its key.
    pub async fn submit(&self, submission: Submission, is_waiting: bool) -> Answer {
        let Some(home) = self.homes.remote_home(&submission.key) else {
            return self.engine.submit(submission, is_waiting).await;
        };
        let cx = forward_context(submission.deadline);
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &submission.key.clone(),
            client.submit(cx, submission, is_waiting).await,
        )
        .await
    }

    /// Returns the answer or the present state of a job from the home of its key.
    pub async fn lookup(&self, key: JobKey) -> Answer {
        let Some(home) = self.homes.remote_home(&key) else {
            return self.engine.lookup(key).await;
        };
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &key.clone(),
            client.lookup(forward_context(Duration::ZERO), key).await,
        )
        .await
    }

    /// Cancels a job at the home of its key.
    pub async fn cancel(&self, key: JobKey) -> Answer {
        let Some(home) = self.homes.remote_home(&key) else {
            return self.engine.cancel(key).await;
        };
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &key.clone(),
            client.cancel(forward_context(Duration::ZERO), key).await,
        )
        .await
    }

    /// Tells the siblings of a target that was announced here.
    pub fn spread_announcement(self: &Arc<Self>, announcement: &Announcement) {
        for sibling in self.homes.siblings() {
            let (entry, sibling, announcement) = (Arc::clone(self), sibling.clone(), announcement.clone());
            tokio::spawn(async move {
                let Ok(client) = entry.links.get(&sibling.id, sibling.peers).await else {
                    return;
                };
                if client.announced(spread_context(), announcement).await.is_err() {
                    entry.links.forget(&sibling.id).await;
                }
            });
        }
    }

    /// Tells the siblings of a target that leaves.
    pub fn spread_leave(self: &Arc<Self>, id: &TargetId) {
        for sibling in self.homes.siblings() {
            let (entry, sibling, id) = (Arc::clone(self), sibling.clone(), id.clone());
            tokio::spawn(async move {
                let Ok(client) = entry.links.get(&sibling.id, sibling.peers).await else {
                    return;
                };
                if client.left(spread_context(), id).await.is_err() {
                    entry.links.forget(&sibling.id).await;
                }
            });
        }
    }

    async fn client(&self, home: &Instance) -> Result<SiblingClient, NotAccepted> {
        let connected = self.links.get(&home.id, home.peers).await;
        connected.map_err(|error| unreachable_home(home, &error.to_string()))
    }

    /// Turns the result of a forwarded call into an answer.
    async fn forwarded(&self, home: &Instance, key: &JobKey, result: Result<Answer, RpcError>) -> Answer {
        let mut event = self.engine.events.event(EventKind::Forwarded);
        event.key = Some(key.clone());
        event.peer = Some(home.id.clone());
        self.engine.events.record(event);
        match result {
            Ok(answer) => answer,
            Err(error) => {
                self.links.forget(&home.id).await;
                Err(unreachable_home(home, &error.to_string()))
            }
        }
    }
}

/// Refuses a key whose home can't be reached: an earlier try may have reached it.
fn unreachable_home(home: &Instance, cause: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HomeUnreachable,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: format!("the home {} of the key can't be reached: {cause}", home.id),
    }
}

fn forward_context(deadline: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + deadline + FORWARD_MARGIN;
    cx
}

fn spread_context() -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + SPREAD_TIMEOUT;
    cx
}
