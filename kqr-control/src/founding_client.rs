use std::{collections::BTreeMap, time::Duration};

use eyre::bail;
use kqr_store::FoundingId;
use kqr_tls::TransportSecurity;
use kqr_types::InstanceId;
use kqr_wire::control::{
    Peer, connect_instance,
    messages::{FoundRequest, control_client::ControlClient},
};
use tokio::time::Instant;
use tonic::{Code, Request, Status};

/// Timeout of a request to one founder.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the founders that have not agreed are asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between log lines about founders that have not agreed.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Client that agrees with the other founders on founding a system.
#[derive(Debug)]
pub struct FoundingClient {
    /// This instance.
    pub own: InstanceId,
    /// Id of its data folder.
    pub founding: FoundingId,
    /// The other founders.
    pub others: Vec<Peer>,
    /// Security of the connections to them.
    pub security: TransportSecurity,
}

impl FoundingClient {
    /// Retries until all other founders have agreed, and returns the ids of their data folders.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them belongs to a system that was founded without the own data folder.
    pub async fn exchange_ids(&self) -> eyre::Result<BTreeMap<InstanceId, FoundingId>> {
        let mut agreed = BTreeMap::new();
        let mut unanswered = BTreeMap::new();
        let mut log_at = Instant::now() + LOG_INTERVAL;
        loop {
            for other in &self.others {
                if agreed.contains_key(&other.id) {
                    continue;
                }
                match self.request_founding(other).await {
                    Ok(founding) => {
                        unanswered.remove(&other.id);
                        agreed.insert(other.id.clone(), founding);
                    }
                    Err(status) if status.code() == Code::FailedPrecondition => bail!(
                        "{} refused to found a system together with {}: {}. \
                         Start an instance that lost its disk with --join",
                        other.id,
                        self.own,
                        status.message()
                    ),
                    Err(status) => drop(unanswered.insert(other.id.clone(), status)),
                }
            }
            if agreed.len() == self.others.len() {
                return Ok(agreed);
            }
            if Instant::now() >= log_at {
                for (other, status) in &unanswered {
                    log::warn!(
                        "waiting for {other} to found the system together: {}",
                        status.message()
                    );
                }
                log_at = Instant::now() + LOG_INTERVAL;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn request_founding(&self, other: &Peer) -> Result<FoundingId, Status> {
        let channel = connect_instance(&self.security, &other.id, other.address).await?;
        let mut request = Request::new(FoundRequest {
            instance: self.own.as_str().to_owned(),
            founding: self.founding.0,
        });
        request.set_timeout(CALL_TIMEOUT);
        let reply = ControlClient::new(channel).found(request).await?;
        Ok(FoundingId(reply.into_inner().founding))
    }
}
