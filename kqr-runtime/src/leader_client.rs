use std::{
    net::{AddrParseError, SocketAddr},
    time::Duration,
};

use kqr_fleet::{Catalog, CatalogVersion, Evacuation, PackedCatalog, ReportReceipt, TargetReport};
use kqr_types::InstanceId;
use tarpc::{client, context};

use crate::{control::ControlCallFailure, rpc::ControlRpcClient, transport};

/// Time from the arrival of a call until its forwarding ends, with all hops: a commit with a slow sync, or some round trips
/// and one lost packet.
/// Callers try another instance after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of instances to which a call is forwarded, each of which names the next one as the leader.
const MAX_HOPS: usize = 2;

/// Client that forwards calls to the leader of the control instances.
#[derive(Clone, Debug)]
pub(crate) struct LeaderClient {
    leader: InstanceId,
    timeout: Duration,
}

impl LeaderClient {
    /// Creates a client of the instance that is known as the leader, for a call that arrived `waited` ago.
    pub(crate) fn new(leader: InstanceId, waited: Duration) -> Self {
        Self {
            leader,
            timeout: FORWARD_TIMEOUT.saturating_sub(waited),
        }
    }

    /// Replaces the catalog.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms that the catalog was accepted.
    pub(crate) async fn replace_catalog(
        self,
        catalog: Catalog,
    ) -> Result<CatalogVersion, ControlCallFailure> {
        let packed = PackedCatalog::pack(&catalog).map_err(|error| {
            log::warn!("the catalog can't be packed: {error}");
            ControlCallFailure::no_answer()
        })?;
        self.forward("replace_catalog", |client| {
            let packed = packed.clone();
            async move { client.replace_catalog(context::current(), packed).await }
        })
        .await
    }

    /// Returns the newest catalog, or `None` if none was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms which catalog is the newest.
    pub(crate) async fn newest_catalog(self) -> Result<Option<Catalog>, ControlCallFailure> {
        let newest = self.forward("newest_catalog", |client| async move {
            client.newest_catalog(context::current()).await
        });
        let unpacked = newest.await?.map(|packed| packed.unpack()).transpose();
        unpacked.map_err(|error| {
            log::warn!("the newest catalog can't be unpacked: {error}");
            ControlCallFailure::no_answer()
        })
    }

    /// Passes on the report of a target.
    ///
    /// # Errors
    ///
    /// Fails if no leader takes it.
    pub(crate) async fn report(self, report: TargetReport) -> Result<ReportReceipt, ControlCallFailure> {
        self.forward("report", |client| {
            let report = report.clone();
            async move { client.report(context::current(), report).await }
        })
        .await
    }

    /// Begins or finishes the evacuation of a data centre.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms that the change is recorded.
    pub(crate) async fn evacuate(self, evacuation: Evacuation) -> Result<(), ControlCallFailure> {
        self.forward("evacuate", |client| {
            let evacuation = evacuation.clone();
            async move { client.evacuate(context::current(), evacuation).await }
        })
        .await
    }

    /// Makes `call` at the leader, and at the one that it names if it does not lead any more.
    async fn forward<Answer, Call, Answered>(
        self,
        name: &str,
        call: Call,
    ) -> Result<Answer, ControlCallFailure>
    where
        Call: Fn(ControlRpcClient) -> Answered,
        Answered: Future<Output = Result<Result<Answer, ControlCallFailure>, client::RpcError>>,
    {
        let (leader, timeout) = (self.leader.clone(), self.timeout);
        let result = match tokio::time::timeout(timeout, self.follow_leaders(call)).await {
            Ok(result) => result,
            Err(_) => Err(eyre::eyre!("no answer within {timeout:?}")),
        };
        result.unwrap_or_else(|error| {
            log::warn!("forwarding {name} to control instance {leader} failed: {error}");
            Err(ControlCallFailure::no_answer())
        })
    }

    async fn follow_leaders<Answer, Call, Answered>(
        self,
        call: Call,
    ) -> eyre::Result<Result<Answer, ControlCallFailure>>
    where
        Call: Fn(ControlRpcClient) -> Answered,
        Answered: Future<Output = Result<Result<Answer, ControlCallFailure>, client::RpcError>>,
    {
        let mut leader = self.leader;
        let mut result = Err(ControlCallFailure::no_answer());
        for _ in 0..MAX_HOPS {
            result = call(connect(&leader).await?).await?;
            let failure = result.as_ref().err();
            match failure.and_then(ControlCallFailure::next_leader) {
                Some(next) if *next != leader => leader = next.clone(),
                _ => break,
            }
        }
        Ok(result)
    }
}

async fn connect(leader: &InstanceId) -> eyre::Result<ControlRpcClient> {
    let address = leader.as_str().parse();
    let address: SocketAddr = address.map_err(|error: AddrParseError| eyre::eyre!("{error}"))?;
    let stream = transport::connect(address).await?;
    Ok(ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn())
}
