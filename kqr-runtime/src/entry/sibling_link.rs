use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use kqr_dispatch::{Delivery, Input, Outbox, ReceiverClock, SiblingMessage};
use kqr_fleet::EntryInfo;
use kqr_types::{Incarnation, InstanceId};
use tarpc::{client, context};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

use super::{EntryDriver, TargetClient};
use crate::{BootClock, rpc::SiblingRpcClient, transport};

/// Maximum number of messages that are queued for a sibling. With more of them the link counts as lost.
const MAX_QUEUED_MESSAGES: usize = 8192;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 256;
/// Timeout of a delivery, after which the connection is replaced: some round trips and one lost packet.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a successful delivery after which a link counts as lost. By then the sibling counts this
/// entry as lost.
const LINK_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed delivery.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Queue of messages for a sibling.
#[derive(Debug)]
struct Queue {
    outbox: Mutex<Outbox>,
    message_added: Notify,
}

impl Queue {
    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Outgoing link to one incarnation of a sibling.
///
/// Messages are delivered in order and exactly once, or the link is reported as lost. Ends of orders may be
/// delivered again after a loss.
#[derive(Debug)]
pub(super) struct SiblingLink {
    sibling_incarnation: Incarnation,
    address: SocketAddr,
    queue: Arc<Queue>,
    task: JoinHandle<()>,
}

impl SiblingLink {
    /// Opens the link to `sibling` and starts the task that delivers its messages.
    pub(super) fn open<Client>(driver: &Arc<EntryDriver<Client>>, sibling: &EntryInfo) -> Self
    where
        Client: TargetClient,
    {
        let outbox = if driver.is_link_limited() {
            Outbox::with_priorities()
        } else {
            Outbox::default()
        };
        let queue = Arc::new(Queue {
            outbox: Mutex::new(outbox),
            message_added: Notify::new(),
        });
        let sender = LinkSender {
            driver: Arc::downgrade(driver),
            own: driver.own.id.clone(),
            incarnation: driver.own.incarnation,
            sibling: sibling.id.clone(),
            address: sibling.siblings,
            queue: Arc::clone(&queue),
            losses: 0,
            session: None,
            next_message: 0,
            receiver_clock: ReceiverClock::default(),
        };
        Self {
            sibling_incarnation: sibling.incarnation,
            address: sibling.siblings,
            queue,
            task: tokio::spawn(sender.run()),
        }
    }

    /// Returns whether the link is to the current incarnation and address of `entry`.
    pub(super) fn connects_to(&self, entry: &EntryInfo) -> bool {
        self.sibling_incarnation == entry.incarnation && self.address == entry.siblings
    }

    /// Queues a message for delivery.
    pub(super) fn send(&self, message: SiblingMessage) {
        self.queue.outbox().push(message);
        self.queue.message_added.notify_one();
    }

    /// Discards the queued messages except the ends of orders. The next message opens a new session.
    pub(super) fn reset(&self) {
        self.queue.outbox().handle_link_loss();
    }
}

impl Drop for SiblingLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Delivers the queued messages in a task of its own.
#[derive(Debug)]
struct LinkSender<Client>
where
    Client: TargetClient,
{
    driver: Weak<EntryDriver<Client>>,
    own: InstanceId,
    incarnation: Incarnation,
    sibling: InstanceId,
    address: SocketAddr,
    queue: Arc<Queue>,
    /// Number of losses of the link when the current batch was taken.
    losses: u64,
    /// Number of the open session.
    session: Option<u64>,
    /// Number of the next message within the session.
    next_message: u64,
    receiver_clock: ReceiverClock,
}

impl<Client> LinkSender<Client>
where
    Client: TargetClient,
{
    /// Delivers messages until the entry ends.
    async fn run(mut self) {
        let mut client = None;
        loop {
            let batch = self.next_batch().await;
            let started = Instant::now();
            let mut is_accepted = None;
            while is_accepted.is_none()
                && started.elapsed() < LINK_TIMEOUT
                && !self.is_queue_full()
                && !self.is_reset()
            {
                match self.deliver(&mut client, &batch).await {
                    Ok(accepted) => is_accepted = Some(accepted),
                    Err(error) => {
                        log::debug!("delivery to sibling {} failed: {error}", self.sibling);
                        client = None;
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
            if self.is_reset() {
                continue;
            }
            if is_accepted == Some(true) {
                self.next_message += batch.len() as u64;
                self.queue.outbox().acknowledge_batch();
                continue;
            }
            if !self.report_link_loss() {
                return;
            }
        }
    }

    /// Waits for the next batch, and closes the session if the link was lost since the last one.
    async fn next_batch(&mut self) -> Vec<SiblingMessage> {
        loop {
            let message_added = self.queue.message_added.notified();
            let (batch, losses) = {
                let mut outbox = self.queue.outbox();
                (outbox.next_batch(MAX_BATCH_MESSAGES), outbox.losses())
            };
            if self.losses != losses {
                self.losses = losses;
                self.session = None;
            }
            if !batch.is_empty() {
                return batch;
            }
            message_added.await;
        }
    }

    /// Returns whether the link was lost since the current batch was taken.
    fn is_reset(&self) -> bool {
        self.queue.outbox().losses() != self.losses
    }

    fn is_queue_full(&self) -> bool {
        self.queue.outbox().len() > MAX_QUEUED_MESSAGES
    }

    /// Delivers a batch, opening a connection and a session if there is none. Returns whether the batch was
    /// accepted.
    async fn deliver(
        &mut self,
        client: &mut Option<SiblingRpcClient>,
        batch: &[SiblingMessage],
    ) -> eyre::Result<bool> {
        let rpc = if let Some(rpc) = client {
            rpc
        } else {
            let stream = transport::connect(self.address).await?;
            let transport = transport::framed(stream);
            client.insert(SiblingRpcClient::new(client::Config::default(), transport).spawn())
        };
        let session = if let Some(session) = self.session {
            session
        } else {
            let driver = self
                .driver
                .upgrade()
                .ok_or_else(|| eyre::eyre!("the entry has ended"))?;
            let dropped = driver.dispatcher().last_dropped_order(&self.sibling);
            let call = rpc.open(context::current(), self.own.clone(), self.incarnation, dropped);
            let opened = tokio::time::timeout(self.delivery_timeout(), call).await??;
            self.receiver_clock.record(BootClock.now(), opened.time);
            self.next_message = 0;
            *self.session.insert(opened.number)
        };
        // The batch must not enter a session that was opened after the link was reset.
        if self.is_reset() {
            eyre::bail!("the link was reset");
        }
        let delivery = Delivery {
            session,
            first: self.next_message,
            sent_at: self.receiver_clock.at(BootClock.now()),
            messages: batch.to_vec(),
        };
        let call = rpc.deliver(context::current(), self.own.clone(), delivery);
        let answer = tokio::time::timeout(self.delivery_timeout(), call).await??;
        if let Some(time) = answer {
            self.receiver_clock.record(BootClock.now(), time);
        }
        Ok(answer.is_some())
    }

    /// Returns the timeout of a delivery, extended by the expected wait for the link of the machine.
    fn delivery_timeout(&self) -> Duration {
        let driver = self.driver.upgrade();
        let extension = driver.map(|driver| driver.dispatcher().link().timeout_extension());
        DELIVERY_TIMEOUT + extension.unwrap_or_default()
    }

    /// Reports the loss of the link, which resets it. Returns whether the entry is still running.
    fn report_link_loss(&self) -> bool {
        let Some(driver) = self.driver.upgrade() else {
            return false;
        };
        let sibling = self.sibling.clone();
        driver.handle_input(Input::LinkLost { sibling });
        true
    }
}
