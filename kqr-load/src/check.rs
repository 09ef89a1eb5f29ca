use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eyre::WrapErr;
use hyper::Method;
use kqr_http::{Client, ClientOptions};
use kqr_jobs::JobState;
use kqr_types::{AttemptId, KeyDigest, TaskIndex};
use kqr_wire::callers::{JobAnswerBody, JobBody};
use serde::{Deserialize, Serialize};

/// Longest time for one question to a stand-in.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Payload of a task for the stand-ins.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Payload {
    /// Run time at speed 1, in milliseconds.
    pub run_ms: u64,
    /// Text that the result repeats.
    pub echo: String,
}

/// What the stand-ins counted.
#[derive(Clone, Debug, Default)]
pub struct Starts {
    /// Number of started attempts.
    pub started: u64,
    /// Number of starts that were refused.
    pub refused: u64,
    /// Number of questions about attempts.
    pub questions: u64,
    /// Number of starts of tasks beyond the first.
    pub duplicates: u64,
}

#[derive(Deserialize)]
struct StartsBody {
    attempts: Vec<String>,
    refused: u64,
    questions: u64,
}

/// Returns whether a complete answer is the whole answer to `body`.
pub fn is_whole(key: &str, body: &JobBody, answer: &JobAnswerBody) -> bool {
    if answer.state != JobState::Complete {
        return answer.tasks.iter().all(|task| task.result.is_none());
    }
    if answer.key.as_str() != key || answer.tasks.len() != body.tasks.len() {
        return false;
    }
    for (index, (task, part)) in body.tasks.iter().zip(&answer.tasks).enumerate() {
        let Ok(payload) = serde_json::from_str::<Payload>(&task.payload) else {
            return false;
        };
        let expected = format!("{key}#{index}:{}", payload.echo);
        if part.result.as_ref() != Some(&expected) {
            return false;
        }
    }
    true
}

/// Asks the stand-ins for their starts and counts the tasks that were started more than once.
///
/// # Errors
///
/// Fails if a stand-in does not answer.
pub async fn collect_starts(standins: &[SocketAddr]) -> eyre::Result<Starts> {
    let client = Client::new(ClientOptions {
        max_answer_bytes: 256 << 20,
        ..ClientOptions::default()
    });
    let mut starts = Starts::default();
    let mut counts: BTreeMap<(KeyDigest, TaskIndex), u64> = BTreeMap::new();
    for standin in standins {
        let uri = format!("http://{standin}/standin/starts").parse()?;
        let answered = client.json::<()>(Method::GET, uri, None, QUESTION_TIMEOUT).await;
        let (_, bytes) = answered.wrap_err_with(|| format!("asking stand-in {standin}"))?;
        let body: StartsBody = serde_json::from_slice(&bytes).wrap_err("parsing the starts")?;
        starts.refused += body.refused;
        starts.questions += body.questions;
        for text in &body.attempts {
            let attempt: AttemptId = text.parse()?;
            *counts.entry((attempt.job, attempt.task)).or_default() += 1;
            starts.started += 1;
        }
    }
    starts.duplicates = counts.values().map(|count| count - 1).sum();
    Ok(starts)
}
