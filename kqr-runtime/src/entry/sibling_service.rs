use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures::StreamExt;
use kqr_dispatch::{Input, SiblingMessage};
use kqr_types::{Incarnation, InstanceId, Instant};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{Shell, TargetPort};
use crate::{calls::SiblingCalls, frames::messages_of};

/// A session of a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Session {
    id: u64,
    /// Number of the next message.
    next: u64,
    /// When the sibling was last heard.
    heard: Instant,
}

/// The calls that an entry answers to its siblings.
#[derive(Debug)]
pub(super) struct SiblingService<Port>
where
    Port: TargetPort,
{
    shell: Arc<Shell<Port>>,
    sessions: Arc<Mutex<BTreeMap<InstanceId, Session>>>,
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
    async fn open(self, _: Context, from: InstanceId, incarnation: Incarnation) -> u64 {
        let now = self.shell.clock().now();
        let session = Session {
            id: now.0,
            next: 0,
            heard: now,
        };
        let former = self.lock().insert(from.clone(), session);
        let fields = [
            ("sibling", from.to_string()),
            ("incarnation", incarnation.to_string()),
            ("session", session.id.to_string()),
        ];
        kqr_telemetry::decision("session-opened", &fields);
        if former.is_some() {
            self.shell.handle(Input::LinkLost { sibling: from });
        }
        session.id
    }

    async fn deliver(
        self,
        _: Context,
        from: InstanceId,
        session: u64,
        first: u64,
        messages: Vec<SiblingMessage>,
    ) -> bool {
        let Some(skipped) = self.take(&from, session, first, messages.len()) else {
            return false;
        };
        for message in messages.into_iter().skip(skipped) {
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
    /// Returns how many of `count` messages were taken before, or `None` if the session has ended.
    fn take(&self, from: &InstanceId, session: u64, first: u64, count: usize) -> Option<usize> {
        let now = self.shell.clock().now();
        let silence = self.shell.sibling_silence();
        let mut sessions = self.lock();
        let known = sessions.get_mut(from)?;
        if known.id != session || now.since(known.heard) >= silence {
            return None;
        }
        let skipped = known.next.saturating_sub(first) as usize;
        known.heard = now;
        known.next = known.next.max(first + count as u64);
        Some(skipped)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Session>> {
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
