use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use kqr_dispatch::{Delivery, Input, OpenedSession, OrderId, ReceiverTime, Sessions};
use kqr_types::{Incarnation, InstanceId};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{EntryDriver, TargetClient};
use crate::{rpc::SiblingRpc, transport::framed};

/// RPC service of an entry for its siblings.
#[derive(Debug)]
pub(super) struct SiblingService<Client>
where
    Client: TargetClient,
{
    driver: Arc<EntryDriver<Client>>,
    sessions: Arc<Mutex<Sessions>>,
}

impl<Client> Clone for SiblingService<Client>
where
    Client: TargetClient,
{
    fn clone(&self) -> Self {
        Self {
            driver: Arc::clone(&self.driver),
            sessions: Arc::clone(&self.sessions),
        }
    }
}

impl<Client> SiblingRpc for SiblingService<Client>
where
    Client: TargetClient,
{
    async fn open(
        self,
        _: Context,
        from: InstanceId,
        incarnation: Incarnation,
        dropped: OrderId,
    ) -> OpenedSession {
        // The lock is held until the inputs are handled, so that no message of an earlier session follows.
        let mut sessions = self.sessions();
        let (number, is_replacement) = sessions.open(self.driver.clock().now(), &from);
        let fields = [
            ("sibling", from.to_string()),
            ("incarnation", incarnation.to_string()),
            ("session", number.to_string()),
            ("dropped_orders", dropped.to_string()),
        ];
        kqr_telemetry::log_decision("session-opened", &fields);
        if is_replacement {
            self.driver.handle_input(Input::SessionOpened {
                sibling: from,
                dropped,
            });
        }
        drop(sessions);
        OpenedSession {
            number,
            time: self.time(),
        }
    }

    async fn deliver(self, _: Context, from: InstanceId, delivery: Delivery) -> Option<ReceiverTime> {
        // The lock is held until the messages are handled, so that no later session is opened before.
        let mut sessions = self.sessions();
        let (now, timeout) = (self.driver.clock().now(), self.driver.sibling_timeout());
        let duplicates = sessions.accept(now, &from, &delivery, timeout)?;
        for message in delivery.messages.into_iter().skip(duplicates as usize) {
            self.driver.handle_input(Input::MessageReceived {
                from: from.clone(),
                sent_at: delivery.sent_at.0,
                message,
            });
        }
        drop(sessions);
        Some(self.time())
    }
}

impl<Client> SiblingService<Client>
where
    Client: TargetClient,
{
    fn time(&self) -> ReceiverTime {
        ReceiverTime(self.driver.clock().now())
    }

    fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves siblings on `listener`.
pub(super) async fn serve<Client>(listener: TcpListener, driver: Arc<EntryDriver<Client>>)
where
    Client: TargetClient,
{
    let service = SiblingService {
        driver,
        sessions: Arc::default(),
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection of a sibling: {error}");
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("disabling Nagle's algorithm for a connection of a sibling: {error}");
        }
        let channel = BaseChannel::with_defaults(framed(stream));
        // Messages must be handled in order, so the calls of a connection are served one at a time.
        let calls = channel.execute(service.clone().serve()).for_each(|call| call);
        tokio::spawn(calls);
    }
}
