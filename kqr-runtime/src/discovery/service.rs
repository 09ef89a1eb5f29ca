use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures::StreamExt;
use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{FoundingMember, KnownControls};
use crate::{rpc::DiscoveryRpc, transport::framed};

/// RPC service through which instances find each other.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryService {
    controls: Arc<KnownControls>,
    founding: Option<Arc<FoundingMember>>,
    /// Founders of the system, at an instance whose disk names them.
    founders: Arc<OnceLock<Vec<InstanceId>>>,
}

impl DiscoveryService {
    /// Creates the service of an instance that takes part in the founding if `founding` is given.
    pub(crate) fn new(controls: Arc<KnownControls>, founding: Option<Arc<FoundingMember>>) -> Self {
        Self {
            controls,
            founding,
            founders: Arc::default(),
        }
    }

    /// Records the founders that the disk of this instance names.
    pub(crate) fn set_founders(&self, founders: Vec<InstanceId>) {
        // The founders of a system never change.
        drop(self.founders.set(founders));
    }
}

impl DiscoveryRpc for DiscoveryService {
    async fn announce(self, _: Context, control: Option<InstanceId>) -> Vec<(InstanceId, Duration)> {
        self.controls.record(control);
        self.controls.ages()
    }

    async fn deliver_founding(self, _: Context, from: VoterId, message: Message) {
        if let Some(founding) = &self.founding {
            founding.deliver(from, message);
        }
    }

    async fn register_founder(
        self,
        _: Context,
        candidate: InstanceId,
        min_founders: usize,
    ) -> Option<Vec<InstanceId>> {
        if let Some(founders) = self.founders.get() {
            return Some(founders.clone());
        }
        self.founding.as_ref()?.register(candidate, min_founders)
    }
}

/// Serves other instances on `listener`.
pub(crate) async fn serve(listener: TcpListener, service: DiscoveryService) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection for discovery: {error}");
                continue;
            }
        };
        let channel = BaseChannel::with_defaults(framed(stream));
        let calls = channel
            .execute(service.clone().serve())
            .for_each(|call| async move {
                tokio::spawn(call);
            });
        tokio::spawn(calls);
    }
}
