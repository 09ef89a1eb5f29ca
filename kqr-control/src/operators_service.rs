use std::time::Duration;

use kqr_settings::Version;
use kqr_wire::control::{
    command_from_request,
    messages::{
        ChangeReply, ChangeRequest, HistoryReply, HistoryRequest, StatusReply, StatusRequest, TreeReply,
        TreeRequest, Update, VotersReply, VotersRequest, operators_server::Operators,
    },
};
use tokio::sync::oneshot;
use tonic::{Request as Call, Response, Status};

use crate::{request::Request, settings_client::SettingsClient, voters};

/// Timeout of a change of a voter.
const VOTER_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of changes in a reply.
const MAX_HISTORY_CHANGES: usize = 1000;

/// Service for calls of operators.
#[derive(Clone, Debug)]
pub struct OperatorsService {
    client: SettingsClient,
}

impl OperatorsService {
    /// Creates the service, which sends its requests through `client`.
    pub fn new(client: SettingsClient) -> Self {
        Self { client }
    }
}

#[tonic::async_trait]
impl Operators for OperatorsService {
    async fn change(&self, call: Call<ChangeRequest>) -> Result<Response<ChangeReply>, Status> {
        let command = command_from_request(call.into_inner());
        let command = command.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let description = format!("change {} of {}", command.change, command.operator);
        let answer = self.client.submit(command).await;
        match &answer {
            Ok(kqr_settings::Answer::Accepted { version, .. }) => {
                log::info!("{description}: accepted as version {version}");
            }
            Ok(kqr_settings::Answer::Refused(refusal)) => log::info!("{description}: refused: {refusal}"),
            Err(status) => log::warn!("{description}: {}", status.message()),
        }
        Ok(Response::new(answer?.into()))
    }

    async fn tree(&self, call: Call<TreeRequest>) -> Result<Response<TreeReply>, Status> {
        let request = call.into_inner();
        if request.needs_confirmation {
            self.client.catch_up().await?;
        }
        let at = request.at.map(Version);
        let (reply, rx) = oneshot::channel();
        let update = self.client.call(Request::Tree { at, reply }, rx).await?;
        let update = update.map_err(|refusal| Status::out_of_range(refusal.to_string()))?;
        let update = Update::from_update(update, request.needs_confirmation);
        Ok(Response::new(TreeReply { update: Some(update) }))
    }

    async fn history(&self, call: Call<HistoryRequest>) -> Result<Response<HistoryReply>, Status> {
        let request = call.into_inner();
        let since = Version(request.since);
        let limit = (request.limit as usize).min(MAX_HISTORY_CHANGES);
        let (reply, rx) = oneshot::channel();
        let request = Request::History { since, limit, reply };
        let changes = self.client.call(request, rx).await?;
        let changes = changes.into_iter().map(Into::into).collect();
        Ok(Response::new(HistoryReply { changes }))
    }

    async fn change_voters(&self, call: Call<VotersRequest>) -> Result<Response<VotersReply>, Status> {
        let change = voters::parse_change(call.into_inner())?;
        let description = format!("voter change {change:?}");
        let (reply, rx) = oneshot::channel();
        let call = self.client.call(Request::ChangeVoters { change, reply }, rx);
        let result = tokio::time::timeout(VOTER_CHANGE_TIMEOUT, call).await;
        let result = result
            .map_err(|_| Status::unavailable("no quorum answers; the change may have been accepted"))??;
        log::info!("{description}: {result:?}");
        voters::reply_to(result).map(Response::new)
    }

    async fn status(&self, _: Call<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        let (reply, rx) = oneshot::channel();
        let status = self.client.call(Request::Status { reply }, rx).await?;
        Ok(Response::new(status))
    }
}
