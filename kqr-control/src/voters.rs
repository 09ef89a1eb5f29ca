//! Conversion of operators' requests to change the voters of the settings log.

use kqr_agreement::{ProposalResult, Refusal, VoterChange, VoterId};
use kqr_wire::control::messages::{VotersReply, VotersRequest, voters_request::Change};
use tonic::Status;

/// Returns the voter change in `request`.
///
/// # Errors
///
/// Returns `invalid-argument` if the request contains no change or no valid voter.
pub fn parse_change(request: VotersRequest) -> Result<VoterChange, Status> {
    match request.change {
        Some(Change::Add(voter)) => Ok(VoterChange::AddLearner(parse_voter(&voter)?)),
        Some(Change::Promote(voter)) => Ok(VoterChange::Promote(parse_voter(&voter)?)),
        Some(Change::Remove(voter)) => Ok(VoterChange::Remove(parse_voter(&voter)?)),
        None => Err(Status::invalid_argument("the request contains no voter change")),
    }
}

/// Returns the reply to a voter change with the outcome `result`.
///
/// # Errors
///
/// Returns `failed-precondition` if the change was refused, and `unavailable` if it may have been accepted.
pub fn reply_to(result: ProposalResult) -> Result<VotersReply, Status> {
    let refusal = match result {
        ProposalResult::Committed { .. } => return Ok(VotersReply {}),
        ProposalResult::Unknown { .. } => {
            return Err(Status::unavailable(
                "this instance lost leadership; the change may have been accepted",
            ));
        }
        ProposalResult::Refused(refusal) => refusal,
    };
    let detail = match refusal {
        Refusal::NotLeader { leader: Some(leader) } => format!("this instance does not lead; {leader} does"),
        Refusal::NotLeader { leader: None } => "this instance does not lead; no leader is known".to_owned(),
        Refusal::ChangePending => "another voter change is pending".to_owned(),
        Refusal::ChangeInvalid => {
            "it has no effect, names an unknown member or would leave no voter".to_owned()
        }
        Refusal::LearnerBehind => "the added instance has not caught up yet".to_owned(),
    };
    Err(Status::failed_precondition(detail))
}

fn parse_voter(text: &str) -> Result<VoterId, Status> {
    let error = || Status::invalid_argument(format!("{text:?}: expected a voter as INSTANCE#STORAGE"));
    let (instance, storage) = text.rsplit_once('#').ok_or_else(error)?;
    let instance = instance.parse().map_err(|_| error())?;
    let storage = storage.parse().map_err(|_| error())?;
    Ok(VoterId::new(instance, storage))
}
