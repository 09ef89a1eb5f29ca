use kqr_store::FoundingId;
use kqr_wire::control::{
    command_from_request,
    messages::{
        ChangeReply, ChangeRequest, ConfirmReply, ConfirmRequest, Delivered, Delivery, FollowEvent,
        FollowRequest, FoundReply, FoundRequest, control_server::Control,
    },
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request as Call, Response, Status, Streaming};

use crate::{
    Token, founding_state::FoundingState, links::Envelope, peer_authorizer::PeerAuthorizer, request::Request,
    settings_client::SettingsClient,
};

/// Maximum number of queued events of a settings stream. The stream is closed if there are more.
const MAX_QUEUED_EVENTS: usize = 64;

/// Service for calls of other instances of the system.
#[derive(Clone, Debug)]
pub struct ControlService {
    client: SettingsClient,
    token: Token,
    authorizer: PeerAuthorizer,
    founding: FoundingState,
}

impl ControlService {
    /// Creates the service. Forwarded changes must carry `token`.
    pub fn new(
        client: SettingsClient,
        token: Token,
        authorizer: PeerAuthorizer,
        founding: FoundingState,
    ) -> Self {
        Self {
            client,
            token,
            authorizer,
            founding,
        }
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    type FollowStream = ReceiverStream<Result<FollowEvent, Status>>;

    async fn deliver(&self, call: Call<Streaming<Delivery>>) -> Result<Response<Delivered>, Status> {
        self.founding.check_running()?;
        let identity = PeerAuthorizer::peer_identity(&call)?;
        let mut deliveries = call.into_inner();
        while let Some(delivery) = deliveries.message().await? {
            for bytes in delivery.messages {
                let envelope = Envelope::decode(&bytes).map_err(|error| {
                    Status::invalid_argument(format!("can't decode a message of {}: {error}", delivery.from))
                })?;
                let Envelope { from, message } = envelope;
                self.authorizer.authorize_voter(&identity, &from.instance)?;
                self.client.send(Request::Message { from, message }).await;
            }
        }
        Ok(Response::new(Delivered {}))
    }

    async fn follow(&self, call: Call<FollowRequest>) -> Result<Response<Self::FollowStream>, Status> {
        self.founding.check_running()?;
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let identity = PeerAuthorizer::peer_identity(&call)?;
        let request = call.into_inner();
        PeerAuthorizer::authorize_follower(&identity, &request.instance)?;
        self.client.send(Request::Follow { request, tx }).await;
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn confirm(&self, _: Call<ConfirmRequest>) -> Result<Response<ConfirmReply>, Status> {
        self.founding.check_running()?;
        let version = self.client.confirm_version_locally().await?.0;
        Ok(Response::new(ConfirmReply { version }))
    }

    async fn found(&self, call: Call<FoundRequest>) -> Result<Response<FoundReply>, Status> {
        let identity = PeerAuthorizer::peer_identity(&call)?;
        let request = call.into_inner();
        let instance = request.instance.parse();
        let instance =
            instance.map_err(|error: kqr_types::ParseError| Status::invalid_argument(error.to_string()))?;
        self.authorizer.authorize_voter(&identity, &instance)?;
        let own = self
            .founding
            .answer_request(&instance, FoundingId(request.founding))?;
        Ok(Response::new(FoundReply { founding: own.0 }))
    }

    async fn forward(&self, call: Call<ChangeRequest>) -> Result<Response<ChangeReply>, Status> {
        self.founding.check_running()?;
        let call = self.token.check(call)?;
        let command = command_from_request(call.into_inner());
        let command = command.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self.client.submit_locally(command).await?;
        Ok(Response::new(answer.into()))
    }
}
