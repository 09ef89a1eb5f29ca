use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kqr_settings::{Answer, Command, Version};
use kqr_tls::TransportSecurity;
use kqr_types::InstanceId;
use kqr_wire::control::{
    change_request, connect_instance,
    messages::{ConfirmRequest, control_client::ControlClient},
};
use tonic::{Request, Status, transport::Channel};

use crate::Token;

/// Timeout of a call to another control instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client for calls to the leader when another control instance leads.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    addresses: BTreeMap<InstanceId, SocketAddr>,
    token: Token,
    security: TransportSecurity,
}

impl LeaderClient {
    /// Creates a client of the control instances at `addresses`. Forwarded changes carry `token`.
    pub fn new(
        addresses: BTreeMap<InstanceId, SocketAddr>,
        token: Token,
        security: TransportSecurity,
    ) -> Self {
        Self {
            addresses,
            token,
            security,
        }
    }

    /// Forwards `command` to `leader` and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the leader can't be reached or does not answer. The change may be accepted then.
    pub async fn forward(&self, leader: &InstanceId, command: Command) -> Result<Answer, Status> {
        let mut client = self.connect(leader).await?;
        let mut request = with_timeout(change_request(command));
        self.token.add_to(&mut request)?;
        let reply = client.forward(request).await?.into_inner();
        reply
            .try_into()
            .map_err(|error| Status::internal(format!("invalid answer of {leader}: {error}")))
    }

    /// Requests the highest accepted version from `leader`.
    ///
    /// # Errors
    ///
    /// Returns an error if the leader can't be reached or can't confirm it.
    pub async fn confirm_version(&self, leader: &InstanceId) -> Result<Version, Status> {
        let mut client = self.connect(leader).await?;
        let reply = client
            .confirm(with_timeout(ConfirmRequest {}))
            .await?
            .into_inner();
        Ok(Version(reply.version))
    }

    async fn connect(&self, peer: &InstanceId) -> Result<ControlClient<Channel>, Status> {
        let address = self.addresses.get(peer);
        let address =
            *address.ok_or_else(|| Status::not_found(format!("{peer} is not a control instance")))?;
        let channel = connect_instance(&self.security, peer, address).await?;
        Ok(ControlClient::new(channel))
    }
}

fn with_timeout<Body>(body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    request.set_timeout(CALL_TIMEOUT);
    request
}
