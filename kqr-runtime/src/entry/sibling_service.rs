use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
};

use futures::StreamExt;
use kqr_dispatch::{Input, SiblingMessage};
use kqr_types::{Incarnation, InstanceId};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{Shell, TargetPort};
use crate::{calls::SiblingCalls, frames::messages_of};

/// How far the messages of a sibling were taken.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Taken {
    incarnation: Incarnation,
    epoch: u64,
    next: u64,
    /// Earlier lives. Their order can't be told from their numbers: the time of day may have been set back.
    former: BTreeSet<Incarnation>,
}

/// The calls that an entry answers to its siblings.
#[derive(Debug)]
pub(super) struct SiblingService<Port>
where
    Port: TargetPort,
{
    shell: Arc<Shell<Port>>,
    taken: Arc<Mutex<BTreeMap<InstanceId, Taken>>>,
}

impl<Port> Clone for SiblingService<Port>
where
    Port: TargetPort,
{
    fn clone(&self) -> Self {
        Self {
            shell: Arc::clone(&self.shell),
            taken: Arc::clone(&self.taken),
        }
    }
}

impl<Port> SiblingCalls for SiblingService<Port>
where
    Port: TargetPort,
{
    async fn deliver(
        self,
        _: Context,
        from: InstanceId,
        incarnation: Incarnation,
        epoch: u64,
        first: u64,
        messages: Vec<SiblingMessage>,
    ) {
        let Some(skipped) = self.take(&from, incarnation, epoch, first, messages.len()) else {
            return;
        };
        for message in messages.into_iter().skip(skipped) {
            let from = from.clone();
            self.shell.handle(Input::Message { from, message });
        }
    }
}

impl<Port> SiblingService<Port>
where
    Port: TargetPort,
{
    /// Returns how many of `count` messages were taken before, or `None` if they are of an earlier life or epoch.
    fn take(
        &self,
        from: &InstanceId,
        incarnation: Incarnation,
        epoch: u64,
        first: u64,
        count: usize,
    ) -> Option<usize> {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Taken {
            incarnation,
            epoch,
            next: 0,
            former: BTreeSet::new(),
        };
        let is_first = !taken.contains_key(from);
        let known = taken.entry(from.clone()).or_insert_with(fresh);
        if known.former.contains(&incarnation) || (known.incarnation == incarnation && epoch < known.epoch) {
            return None;
        }
        let is_new = known.incarnation != incarnation || known.epoch != epoch;
        if is_new {
            let mut former = std::mem::take(&mut known.former);
            if known.incarnation != incarnation {
                former.insert(known.incarnation);
            }
            *known = Taken { former, ..fresh() };
        }
        let next = known.next;
        known.next = next.max(first + count as u64);
        drop(taken);
        if is_new && !is_first {
            let sibling = from.clone();
            self.shell.handle(Input::LinkLost { sibling });
        }
        Some(next.saturating_sub(first) as usize)
    }
}

/// Serves siblings on `listener`.
pub(super) async fn serve<Port>(listener: TcpListener, shell: Arc<Shell<Port>>)
where
    Port: TargetPort,
{
    let service = SiblingService {
        shell,
        taken: Arc::default(),
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
