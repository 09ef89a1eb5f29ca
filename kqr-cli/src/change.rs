use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use kqr_settings::{Action, Answer, ChangeId, Command, OperatorName, Version};
use serde::Serialize;

use crate::{Connection, Failure};

/// What all changes have in common.
#[derive(Clone, Debug, clap::Args)]
pub struct ChangeOptions {
    /// Name of the change. Give the one of an earlier try to send it again; a new one is made otherwise.
    #[arg(long)]
    pub change_id: Option<ChangeId>,
    /// Version that the change is made against; the present one if absent.
    #[arg(long)]
    pub base: Option<Version>,
    /// Who asks for the change.
    #[arg(long, env = "USER", default_value = "operator")]
    pub operator: OperatorName,
    /// Lets any version after the base beat the change, and not only one that changed the same nodes.
    #[arg(long)]
    pub exclusive: bool,
}

/// Outcome of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// Name of the change.
    pub change: ChangeId,
    /// Version that it made.
    pub version: Version,
    /// Digest of that version.
    pub digest: String,
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "accepted as version {} (change {})", self.version, self.change)
    }
}

/// Asks for `action` and waits for the answer.
///
/// # Errors
///
/// Fails if the change is refused or there is no answer; the failure names the change id to send it again with.
pub async fn submit(
    connection: &Connection,
    options: &ChangeOptions,
    base: Option<Version>,
    action: Action,
) -> Result<Accepted, Failure> {
    const STEP: &str = "changing the settings";
    let base = match options.base.or(base) {
        Some(base) => base,
        None => connection.tree(None).await?.version,
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let change = match &options.change_id {
        Some(change) => change.clone(),
        None => format!("kqr-{:x}-{}", unix.as_nanos(), std::process::id())
            .parse()
            .map_err(|error: kqr_types::ParseError| Failure::local(STEP, error.to_string()))?,
    };
    let command = Command {
        change: change.clone(),
        base,
        operator: options.operator.clone(),
        unix_ms: unix.as_millis() as u64,
        is_exclusive: options.exclusive,
        action,
    };
    let answer = connection.change(command).await.map_err(|mut failure| {
        failure.detail = format!("{} (change id {change}, base {base})", failure.detail);
        failure
    })?;
    match answer {
        Answer::Accepted { version, digest } => Ok(Accepted {
            change,
            version,
            digest: digest.to_string(),
        }),
        Answer::Refused(refusal) => Err(Failure::refused(STEP, refusal)),
    }
}
