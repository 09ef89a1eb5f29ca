//! Calls to the discovery service of other instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use futures::{StreamExt, stream::FuturesUnordered};
use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;
use tarpc::{client, context};

use super::{KnownControls, KnownEntries};
use crate::{rpc::DiscoveryRpcClient, transport};

/// Timeout of a call: some round trips and one lost packet.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between announcements of a control instance.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between requests for the founders.
const FOUNDERS_INTERVAL: Duration = Duration::from_millis(50);

/// Announces `own`, if this is a control instance, and records the control instances that the receivers know.
pub(crate) async fn announce(receivers: &[SocketAddr], own: Option<&InstanceId>, known: &KnownControls) {
    let mut calls = FuturesUnordered::new();
    for receiver in receivers {
        let own = own.cloned();
        calls.push(call(*receiver, async move |client: DiscoveryRpcClient| {
            client.announce(context::current(), own).await
        }));
    }
    while let Some(controls) = calls.next().await {
        known.merge(controls.into_iter().flatten());
    }
}

/// Announces the control instance `own` to the seeds, which may change, and to silent entries until the process ends.
pub(crate) async fn announce_periodically(
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    own: InstanceId,
    known: Arc<KnownControls>,
    entries: Arc<KnownEntries>,
) {
    loop {
        let mut receivers = seeds.load().to_vec();
        receivers.extend(entries.silent());
        announce(&receivers, Some(&own), &known).await;
        known.record([own.clone()]);
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Registers the control instance `own` at the seeds until one of them knows the founders.
pub(crate) async fn find_founders(
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    own: InstanceId,
    min_founders: usize,
) -> Vec<InstanceId> {
    loop {
        let mut calls = FuturesUnordered::new();
        for seed in seeds.load().iter() {
            let own = own.clone();
            calls.push(call(*seed, async move |client: DiscoveryRpcClient| {
                client
                    .register_founder(context::current(), own, min_founders)
                    .await
            }));
        }
        while let Some(founders) = calls.next().await {
            if let Some(founders) = founders.flatten() {
                return founders;
            }
        }
        tokio::time::sleep(FOUNDERS_INTERVAL).await;
    }
}

/// Delivers a message of the founding. A lost one is not repeated; the log sends it again.
pub(super) async fn deliver(own: VoterId, to: VoterId, message: Message) {
    let Ok(address) = to.instance.as_str().parse() else {
        log::error!("the identity {to} is not the address of a seed");
        return;
    };
    call(address, async move |client: DiscoveryRpcClient| {
        client.deliver_founding(context::current(), own, message).await
    })
    .await;
}

/// Makes a call at the instance with the discovery address `address`. Returns `None` if it fails.
async fn call<Answer, Call>(address: SocketAddr, call: Call) -> Option<Answer>
where
    Call: AsyncFnOnce(DiscoveryRpcClient) -> Result<Answer, client::RpcError>,
{
    let attempt = async {
        let stream = transport::connect(address).await?;
        let transport = transport::framed(stream);
        let client = DiscoveryRpcClient::new(client::Config::default(), transport).spawn();
        eyre::Ok(call(client).await?)
    };
    match tokio::time::timeout(CALL_TIMEOUT, attempt).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::debug!("a discovery call to {address} failed: {error}");
            None
        }
        Err(_) => {
            log::debug!("a discovery call to {address} timed out");
            None
        }
    }
}
