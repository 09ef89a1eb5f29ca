//! Shows the state of the control instances.

use std::fmt;

use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is shown.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {}

/// State of one control instance.
#[derive(Clone, Debug, Serialize)]
pub struct Server {
    /// Operators' listener.
    pub address: String,
    /// State, if the instance answered.
    pub state: Option<State>,
    /// Why it did not answer.
    pub failure: Option<Error>,
}

/// What a control instance tells of itself.
#[derive(Clone, Debug, Serialize)]
pub struct State {
    /// Instance.
    pub instance: String,
    /// Role in the agreement.
    pub role: String,
    /// Term of the agreement.
    pub term: u64,
    /// Known leader; empty if there is none.
    pub leader: String,
    /// Version of the settings that it has.
    pub version: u64,
    /// Whether it heard from a quorum, or from a leader, a short time ago.
    pub is_in_touch: bool,
    /// Its own identity as a voter.
    pub voter: String,
    /// Voters of the agreement.
    pub voters: Vec<String>,
    /// Instances that receive the log without a vote.
    pub learners: Vec<String>,
    /// Instances that stream the settings from it.
    pub followers: Vec<Follower>,
}

/// An instance that streams the settings.
#[derive(Clone, Debug, Serialize)]
pub struct Follower {
    /// Instance.
    pub instance: String,
    /// Version that was sent last.
    pub version: u64,
}

/// State of all control instances that were asked.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Instances in the order in which they were given.
    pub servers: Vec<Server>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for server in &self.servers {
            if let Some(state) = &server.state {
                write_state(f, state)?;
            }
            if let Some(failure) = &server.failure {
                writeln!(f, "{}: {}", server.address, failure.detail)?;
            }
        }
        Ok(())
    }
}

fn write_state(f: &mut fmt::Formatter<'_>, state: &State) -> fmt::Result {
    let touch = if state.is_in_touch {
        "in touch"
    } else {
        "OUT OF TOUCH with a quorum"
    };
    let leader = if state.leader.is_empty() {
        "none"
    } else {
        &state.leader
    };
    writeln!(
        f,
        "{}: {}, term {}, leader {leader}, version {}, {touch}",
        state.voter, state.role, state.term, state.version
    )?;
    writeln!(f, "    voters: {}", state.voters.join(", "))?;
    if !state.learners.is_empty() {
        writeln!(f, "    without a vote: {}", state.learners.join(", "))?;
    }
    for follower in &state.followers {
        writeln!(f, "    {} has version {}", follower.instance, follower.version)?;
    }
    Ok(())
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if no instance answers.
pub async fn run(connection: &Connection, _: &Options) -> Result<Outcome, Error> {
    let mut servers = Vec::new();
    let mut last_failure = None;
    for &address in connection.servers() {
        let result = connection.status(address).await;
        let (state, failure) = match result {
            Ok(reply) => (Some(state_of(reply)), None),
            Err(failure) => (None, Some(failure)),
        };
        last_failure = failure.clone().or(last_failure);
        servers.push(Server {
            address: address.to_string(),
            state,
            failure,
        });
    }
    match last_failure {
        Some(failure) if servers.iter().all(|server| server.state.is_none()) => Err(failure),
        _ => Ok(Outcome { servers }),
    }
}

fn state_of(reply: kqr_wire::control::messages::StatusReply) -> State {
    let mut followers = Vec::with_capacity(reply.followers.len());
    for follower in reply.followers {
        followers.push(Follower {
            instance: follower.instance,
            version: follower.version,
        });
    }
    State {
        instance: reply.instance,
        role: reply.role,
        term: reply.term,
        leader: reply.leader,
        version: reply.version,
        is_in_touch: reply.is_in_touch,
        voter: reply.voter,
        voters: reply.voters,
        learners: reply.learners,
        followers,
    }
}
