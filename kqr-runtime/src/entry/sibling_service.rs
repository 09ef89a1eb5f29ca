use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use kqr_dispatch::{Input, OrderId, Sessions, SiblingMessage};
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
    async fn open(self, _: Context, from: InstanceId, incarnation: Incarnation, dropped: OrderId) -> u64 {
        // The lock is held until the inputs are handled, so that no message of an earlier session follows.
        let mut sessions = self.sessions();
        let (session, is_replacement) = sessions.open(self.driver.clock().now(), &from);
        let fields = [
            ("sibling", from.to_string()),
            ("incarnation", incarnation.to_string()),
            ("session", session.to_string()),
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
        session
    }

    async fn deliver(
        self,
        _: Context,
        from: InstanceId,
        session: u64,
        first: u64,
        messages: Vec<SiblingMessage>,
    ) -> bool {
        let (count, timeout) = (messages.len() as u64, self.driver.sibling_timeout());
        // The lock is held until the messages are handled, so that no later session is opened before.
        let mut sessions = self.sessions();
        let now = self.driver.clock().now();
        let accepted = sessions.accept(now, &from, session, first, count, timeout);
        let Some(duplicates) = accepted else {
            return false;
        };
        for message in messages.into_iter().skip(duplicates as usize) {
            let from = from.clone();
            self.driver.handle_input(Input::MessageReceived { from, message });
        }
        drop(sessions);
        true
    }
}

impl<Client> SiblingService<Client>
where
    Client: TargetClient,
{
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
