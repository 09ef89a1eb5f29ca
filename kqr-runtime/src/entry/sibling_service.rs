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

/// The calls that an entry answers to its siblings.
#[derive(Debug)]
pub(super) struct SiblingService<Client>
where
    Client: TargetClient,
{
    shell: Arc<EntryDriver<Client>>,
    sessions: Arc<Mutex<Sessions>>,
}

impl<Client> Clone for SiblingService<Client>
where
    Client: TargetClient,
{
    fn clone(&self) -> Self {
        Self {
            shell: Arc::clone(&self.shell),
            sessions: Arc::clone(&self.sessions),
        }
    }
}

impl<Client> SiblingRpc for SiblingService<Client>
where
    Client: TargetClient,
{
    async fn open(self, _: Context, from: InstanceId, incarnation: Incarnation, dropped: OrderId) -> u64 {
        let (session, is_next) = self.lock().open(self.shell.clock().now(), &from);
        let fields = [
            ("sibling", from.to_string()),
            ("incarnation", incarnation.to_string()),
            ("session", session.to_string()),
            ("dropped_orders", dropped.to_string()),
        ];
        kqr_telemetry::decision("session-opened", &fields);
        if is_next {
            self.shell.handle(Input::SessionOpened {
                sibling: from,
                dropped,
            });
        }
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
        let (now, silence) = (self.shell.clock().now(), self.shell.sibling_silence());
        let count = messages.len() as u64;
        let taken = self.lock().accept(now, &from, session, first, count, silence);
        let Some(skipped) = taken else {
            return false;
        };
        for message in messages.into_iter().skip(skipped as usize) {
            let from = from.clone();
            self.shell.handle(Input::MessageReceived { from, message });
        }
        true
    }
}

impl<Client> SiblingService<Client>
where
    Client: TargetClient,
{
    fn lock(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves siblings on `listener`.
pub(super) async fn serve<Client>(listener: TcpListener, shell: Arc<EntryDriver<Client>>)
where
    Client: TargetClient,
{
    let service = SiblingService {
        shell,
        sessions: Arc::default(),
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a sibling: {error}");
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a connection of a sibling: {error}");
        }
        let channel = BaseChannel::with_defaults(framed(stream));
        // Messages must be taken in their order, so a connection's calls are answered one after the other.
        let calls = channel.execute(service.clone().serve()).for_each(|call| call);
        tokio::spawn(calls);
    }
}
