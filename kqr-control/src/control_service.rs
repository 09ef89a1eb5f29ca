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
    Token, changes::Changes, founders::Founders, links::Envelope, peer_check::PeerCheck, request::Request,
};

/// Messages of a settings stream that may wait before it is closed.
const QUEUED_EVENTS: usize = 64;

/// The calls that this instance answers to other processes of the system.
#[derive(Clone, Debug)]
pub struct ControlService {
    changes: Changes,
    token: Token,
    check: PeerCheck,
    founders: Founders,
}

impl ControlService {
    /// Creates the service; changes that are handed over must carry `token`.
    pub fn new(changes: Changes, token: Token, check: PeerCheck, founders: Founders) -> Self {
        Self {
            changes,
            token,
            check,
            founders,
        }
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    type FollowStream = ReceiverStream<Result<FollowEvent, Status>>;

    async fn deliver(&self, call: Call<Streaming<Delivery>>) -> Result<Response<Delivered>, Status> {
        self.founders.check_running()?;
        let identity = PeerCheck::identity(&call)?;
        let mut deliveries = call.into_inner();
        while let Some(delivery) = deliveries.message().await? {
            for bytes in delivery.messages {
                let envelope = Envelope::decode(&bytes).map_err(|error| {
                    Status::invalid_argument(format!("message of {}: {error}", delivery.from))
                })?;
                let Envelope { from, message } = envelope;
                self.check.votes(&identity, &from.instance)?;
                self.changes.tell(Request::Message { from, message }).await;
            }
        }
        Ok(Response::new(Delivered {}))
    }

    async fn follow(&self, call: Call<FollowRequest>) -> Result<Response<Self::FollowStream>, Status> {
        self.founders.check_running()?;
        let (tx, rx) = mpsc::channel(QUEUED_EVENTS);
        let identity = PeerCheck::identity(&call)?;
        let request = call.into_inner();
        PeerCheck::follows(&identity, &request.instance)?;
        self.changes.tell(Request::Follow { request, tx }).await;
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn confirm(&self, _: Call<ConfirmRequest>) -> Result<Response<ConfirmReply>, Status> {
        self.founders.check_running()?;
        let version = self.changes.confirm_here().await?.0;
        Ok(Response::new(ConfirmReply { version }))
    }

    async fn found(&self, call: Call<FoundRequest>) -> Result<Response<FoundReply>, Status> {
        let identity = PeerCheck::identity(&call)?;
        let request = call.into_inner();
        let instance = request.instance.parse();
        let instance =
            instance.map_err(|error: kqr_types::ParseError| Status::invalid_argument(error.to_string()))?;
        self.check.votes(&identity, &instance)?;
        let own = self.founders.answer(&instance, FoundingId(request.founding))?;
        Ok(Response::new(FoundReply { founding: own.0 }))
    }

    async fn forward(&self, call: Call<ChangeRequest>) -> Result<Response<ChangeReply>, Status> {
        self.founders.check_running()?;
        let call = self.token.check(call)?;
        let command = command_from_request(call.into_inner());
        let command = command.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self.changes.change_here(command).await?;
        Ok(Response::new(answer.into()))
    }
}
