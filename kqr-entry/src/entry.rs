use std::{sync::Arc, time::Duration};

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission};
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::EventKind;
use kqr_types::{Incarnation, InstanceId, JobKey};
use kqr_wire::{mail::Mail, siblings::SiblingClient};
use tarpc::{client::RpcError, context};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::Relay,
    engine::{Answer, Engine, ShardIndex},
    homes::Homes,
    registry::Registry,
    sibling_links::SiblingLinks,
};

/// Time that a sibling has on top of the caller's deadline.
const FORWARD_MARGIN: Duration = Duration::from_secs(5);

/// The parts of a running entry.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    pub own: Instance,
    /// Jobs, queue and targets.
    pub engine: Arc<Engine>,
    /// The rule that names the home of each key.
    pub homes: Homes,
    /// The targets of the data centre.
    pub registry: Registry,
    /// Connections to siblings.
    pub links: Arc<SiblingLinks>,
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

    /// Takes in a message of another entry's machines.
    pub fn take_mail(&self, from: &InstanceId, incarnation: Incarnation, mail: Mail) {
        match mail {
            Mail::Jobs { shard, message } => {
                let shard = ShardIndex(usize::from(shard));
                self.engine.receive(shard, from.clone(), incarnation, message);
            }
            Mail::Directory(message) => {
                self.registry.handle(kqr_directory::Input::Peer {
                    from: from.clone(),
                    message,
                });
            }
        }
    }

    /// Lets the machines see that time has passed.
    pub fn tick(&self) {
        self.engine.tick();
        self.registry.handle(kqr_directory::Input::Tick);
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
