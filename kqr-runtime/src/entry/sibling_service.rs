use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use kqr_dispatch::{Input, Sessions, SiblingMessage, Ticket};
use kqr_types::{Incarnation, InstanceId};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{Shell, TargetPort};
use crate::{calls::SiblingCalls, frames::messages_of};

/// The calls that an entry answers to its siblings.
#[derive(Debug)]
pub(super) struct SiblingService<Port>
where
    Port: TargetPort,
{
    shell: Arc<Shell<Port>>,
    sessions: Arc<Mutex<Sessions>>,
}

impl<Port> Clone for SiblingService<Port>
where
    Port: TargetPort,
{
    fn clone(&self) -> Self {
        Self {
            shell: Arc::clone(&self.shell),
            sessions: Arc::clone(&self.sessions),
        }
    }
}

impl<Port> SiblingCalls for SiblingService<Port>
where
    Port: TargetPort,
{
    async fn open(self, _: Context, from: InstanceId, incarnation: Incarnation, dropped: Ticket) -> u64 {
        let (session, is_next) = self.lock().open(self.shell.clock().now(), &from);
        let fields = [
            ("sibling", from.to_string()),
            ("incarnation", incarnation.to_string()),
            ("session", session.to_string()),
            ("dropped_orders", dropped.to_string()),
        ];
        kqr_telemetry::log_decision("session-opened", &fields);
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
        let taken = self.lock().take(now, &from, session, first, count, silence);
        let Some(skipped) = taken else {
            return false;
        };
        for message in messages.into_iter().skip(skipped as usize) {
            let from = from.clone();
            self.shell.handle(Input::Message { from, message });
        }
        true
    }
}

impl<Port> SiblingService<Port>
where
    Port: TargetPort,
{
    fn lock(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves siblings on `listener`.
pub(super) async fn serve<Port>(listener: TcpListener, shell: Arc<Shell<Port>>)
where
    Port: TargetPort,
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
        let channel = BaseChannel::with_defaults(messages_of(stream));
        // Messages must be taken in their order, so a connection's calls are answered one after the other.
        let calls = channel.execute(service.clone().serve()).for_each(|call| call);
        tokio::spawn(calls);
    }
}
