use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use eyre::WrapErr;
use hyper::Method;
use kqr_http::{Client, ClientOptions};
use kqr_jobs::JobState;
use kqr_types::{AttemptId, KeyDigest, TaskIndex};
use kqr_wire::callers::{JobAnswerBody, JobBody};
use serde::{Deserialize, Serialize};

/// Longest time for one question to a stand-in.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer of a stand-in, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

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
    /// Number of starts, by task.
    pub tasks: BTreeMap<(KeyDigest, TaskIndex), u64>,
    /// Number of runs, by path of a single request.
    pub requests: BTreeMap<String, u64>,
    /// Number of starts that were refused.
    pub refused: u64,
    /// Number of questions about attempts.
    pub questions: u64,
}

#[derive(Deserialize)]
struct StartsBody {
    attempts: Vec<String>,
    #[serde(default)]
    requests: Vec<String>,
    refused: u64,
    questions: u64,
}

impl Starts {
    /// Asks the stand-ins for their starts.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn collect(standins: &[SocketAddr]) -> eyre::Result<Self> {
        let client = Client::new(ClientOptions {
            max_response_bytes: MAX_ANSWER_BYTES,
            ..ClientOptions::default()
        });
        let mut starts = Self::default();
        for standin in standins {
            let uri = format!("http://{standin}/standin/starts").parse()?;
            let answered = client
                .send_json::<()>(Method::GET, uri, None, QUESTION_TIMEOUT)
                .await;
            let (_, bytes) = answered.wrap_err_with(|| format!("asking stand-in {standin}"))?;
            starts
                .add(&bytes)
                .wrap_err_with(|| format!("reading the starts of {standin}"))?;
        }
        Ok(starts)
    }

    /// Adds the starts of one stand-in from the body of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed.
    pub fn add(&mut self, bytes: &[u8]) -> eyre::Result<()> {
        let body: StartsBody = serde_json::from_slice(bytes)?;
        self.refused += body.refused;
        self.questions += body.questions;
        for text in body.attempts {
            let attempt: AttemptId = text.parse()?;
            *self.tasks.entry((attempt.job, attempt.task)).or_default() += 1;
        }
        for path in body.requests {
            *self.requests.entry(path).or_default() += 1;
        }
        Ok(())
    }

    /// Returns the number of starts of tasks.
    pub fn started(&self) -> u64 {
        self.tasks.values().sum()
    }

    /// Returns the number of starts of tasks beyond the first.
    pub fn duplicates(&self) -> u64 {
        self.tasks.values().map(|starts| starts - 1).sum()
    }

    /// Returns the number of tasks that were started although their job was answered as not run.
    pub fn false_not_run(&self, not_run: &BTreeSet<(KeyDigest, TaskIndex)>) -> u64 {
        not_run
            .iter()
            .filter(|task| self.tasks.contains_key(task))
            .count() as u64
    }

    /// Returns how often requests were run beyond `most` times each.
    pub fn requests_beyond(&self, paths: &BTreeSet<String>, most: u64) -> u64 {
        let runs = |path: &String| self.requests.get(path).copied().unwrap_or(0);
        paths.iter().map(|path| runs(path).saturating_sub(most)).sum()
    }
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
