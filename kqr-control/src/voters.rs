//! SettingsClient of the voters of the settings log, as operators ask for them.

use kqr_agreement::{ProposalResult, Refusal, VoterChange, VoterId};
use kqr_wire::control::messages::{VotersReply, VotersRequest, voters_request::Change};
use tonic::Status;

/// Returns the change that `request` asks for.
///
/// # Errors
///
/// Returns an error if the request names no change or no valid voter.
pub fn change_of(request: VotersRequest) -> Result<VoterChange, Status> {
    match request.change {
        Some(Change::Add(voter)) => Ok(VoterChange::AddLearner(voter_of(&voter)?)),
        Some(Change::Promote(voter)) => Ok(VoterChange::Promote(voter_of(&voter)?)),
        Some(Change::Remove(voter)) => Ok(VoterChange::Remove(voter_of(&voter)?)),
        None => Err(Status::invalid_argument("the change of a voter is missing")),
    }
}

/// Returns the reply to a change that ended with `result`.
///
/// # Errors
///
/// Returns an error if the change was not accepted.
pub fn reply_of(result: ProposalResult) -> Result<VotersReply, Status> {
    let refusal = match result {
        ProposalResult::Committed { .. } => return Ok(VotersReply {}),
        ProposalResult::Unknown { .. } => {
            return Err(Status::unavailable(
                "the lead was lost; the change may be accepted",
            ));
        }
        ProposalResult::Refused(refusal) => refusal,
    };
    let detail = match refusal {
        Refusal::NotLeader { leader: Some(leader) } => format!("this instance does not lead; {leader} does"),
        Refusal::NotLeader { leader: None } => "this instance does not lead; no leader is known".to_owned(),
        Refusal::ChangePending => "another change of a voter has not ended".to_owned(),
        Refusal::ChangeInvalid => "it alters nothing, names a stranger or would leave no voter".to_owned(),
        Refusal::LearnerBehind => "the added instance has not caught up yet".to_owned(),
    };
    Err(Status::failed_precondition(detail))
}

fn voter_of(text: &str) -> Result<VoterId, Status> {
    let error = || Status::invalid_argument(format!("{text:?}: expected a voter as INSTANCE#STORAGE"));
    let (instance, storage) = text.rsplit_once('#').ok_or_else(error)?;
    let instance = instance.parse().map_err(|_| error())?;
    let storage = storage.parse().map_err(|_| error())?;
    Ok(VoterId::new(instance, storage))
}
