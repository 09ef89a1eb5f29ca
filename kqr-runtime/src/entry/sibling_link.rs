use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use kqr_dispatch::{Input, Outbox, SiblingMessage};
use kqr_fleet::EntryInfo;
use kqr_types::{Incarnation, InstanceId};
use tarpc::{client, context};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

use super::{EntryDriver, TargetClient};
use crate::{rpc::SiblingRpcClient, transport};

/// Messages that may wait for a sibling; with more the link counts as lost.
const QUEUED_MESSAGES: usize = 8192;
/// Messages that are handed over together.
const BATCH: usize = 256;
/// Longest time for a delivery before the connection is replaced: some round trips and one lost packet.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a link over which nothing can be delivered is given up: by then the sibling has given
/// this entry up.
const GIVE_UP_AFTER: Duration = Duration::from_millis(600);
/// Pause after a failed delivery.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// What waits for a sibling.
#[derive(Debug, Default)]
struct Queue {
    outbox: Mutex<Outbox>,
    changed: Notify,
}

impl Queue {
    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Messages to one life of a sibling. They arrive in their order and once, or the link is reported lost; ends
/// of orders may arrive again after that.
#[derive(Debug)]
pub(super) struct Mailbox {
    sibling: Incarnation,
    address: SocketAddr,
    queue: Arc<Queue>,
    task: JoinHandle<()>,
}

impl Mailbox {
    /// Opens the mailbox for `sibling`.
    pub(super) fn open<Client>(shell: &Arc<EntryDriver<Client>>, sibling: &EntryInfo) -> Self
    where
        Client: TargetClient,
    {
        let queue = Arc::new(Queue::default());
        let sender = Sender {
            shell: Arc::downgrade(shell),
            own: shell.own.id.clone(),
            incarnation: shell.own.incarnation,
            sibling: sibling.id.clone(),
            address: sibling.siblings,
            queue: Arc::clone(&queue),
            session: None,
            first: 0,
        };
        Self {
            sibling: sibling.incarnation,
            address: sibling.siblings,
            queue,
            task: tokio::spawn(sender.run()),
        }
    }

    /// Returns whether the mailbox is for the present life of `entry`.
    pub(super) fn is_for(&self, entry: &EntryInfo) -> bool {
        self.sibling == entry.incarnation && self.address == entry.siblings
    }

    /// Queues a message.
    pub(super) fn send(&self, message: SiblingMessage) {
        self.queue.outbox().push(message);
        self.queue.changed.notify_one();
    }
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The task that hands messages over.
#[derive(Debug)]
struct Sender<Client>
where
    Client: TargetClient,
{
    shell: Weak<EntryDriver<Client>>,
    own: InstanceId,
    incarnation: Incarnation,
    sibling: InstanceId,
    address: SocketAddr,
    queue: Arc<Queue>,
    /// The open session.
    session: Option<u64>,
    /// Number of the next message within the session.
    first: u64,
}

impl<Client> Sender<Client>
where
    Client: TargetClient,
{
    async fn run(mut self) {
        let mut client = None;
        loop {
            let batch = self.next_batch().await;
            let begun = Instant::now();
            let mut outcome = None;
            while outcome.is_none() && begun.elapsed() < GIVE_UP_AFTER && !self.is_overfull() {
                match self.deliver(&mut client, &batch).await {
                    Ok(is_taken) => outcome = Some(is_taken),
                    Err(error) => {
                        log::debug!("delivering to sibling {}: {error}", self.sibling);
                        client = None;
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
            if outcome == Some(true) {
                self.first += batch.len() as u64;
                self.queue.outbox().acknowledge_batch();
                continue;
            }
            if !self.give_up() {
                return;
            }
        }
    }

    async fn next_batch(&self) -> Vec<SiblingMessage> {
        loop {
            let changed = self.queue.changed.notified();
            let batch = self.queue.outbox().next_batch(BATCH);
            if !batch.is_empty() {
                return batch;
            }
            changed.await;
        }
    }

    fn is_overfull(&self) -> bool {
        self.queue.outbox().len() > QUEUED_MESSAGES
    }

    /// Hands a batch over, in a new session if none is open. Returns whether it was taken.
    async fn deliver(
        &mut self,
        client: &mut Option<SiblingRpcClient>,
        batch: &[SiblingMessage],
    ) -> eyre::Result<bool> {
        let open = if let Some(open) = client {
            open
        } else {
            let stream = transport::connect(self.address).await?;
            let transport = transport::framed(stream);
            client.insert(SiblingRpcClient::new(client::Config::default(), transport).spawn())
        };
        let session = if let Some(session) = self.session {
            session
        } else {
            let shell = self
                .shell
                .upgrade()
                .ok_or_else(|| eyre::eyre!("the entry has ended"))?;
            let dropped = shell.machine().last_dropped_order(&self.sibling);
            let call = open.open(context::current(), self.own.clone(), self.incarnation, dropped);
            let session = tokio::time::timeout(DELIVERY_TIMEOUT, call).await??;
            self.first = 0;
            *self.session.insert(session)
        };
        let (own, messages) = (self.own.clone(), batch.to_vec());
        let call = open.deliver(context::current(), own, session, self.first, messages);
        Ok(tokio::time::timeout(DELIVERY_TIMEOUT, call).await??)
    }

    /// Gives the link up. Returns whether the entry is still there.
    fn give_up(&mut self) -> bool {
        self.queue.outbox().handle_link_loss();
        let Some(shell) = self.shell.upgrade() else {
            return false;
        };
        self.session = None;
        let sibling = self.sibling.clone();
        shell.handle(Input::LinkLost { sibling });
        true
    }
}
