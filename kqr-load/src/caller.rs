use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use kqr_http::{Client, ClientOptions};
use rand::{Rng, RngExt};

use crate::Experiment;

/// What all calls of a run share.
#[derive(Debug)]
pub struct Caller {
    /// The experiment.
    pub experiment: Experiment,
    /// The HTTP client.
    pub client: Client,
    started: Instant,
    live: Mutex<BTreeMap<String, bool>>,
}

impl Caller {
    /// Creates the state of a run that begins now.
    pub fn new(experiment: Experiment) -> Self {
        Self {
            experiment,
            client: Client::new(ClientOptions::default()),
            started: Instant::now(),
            live: Mutex::default(),
        }
    }

    /// Returns the time since the begin of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until a time from the begin of the run.
    pub async fn wait_until(&self, at: Duration) {
        tokio::time::sleep_until((self.started + at).into()).await;
    }

    /// Returns the address of the entry for a try that began with entry `first`.
    pub fn entry(&self, first: usize, attempt: usize) -> std::net::SocketAddr {
        let entries = &self.experiment.entries;
        entries[(first + attempt) % entries.len()]
    }

    /// Notes that a job is unanswered.
    pub fn begin(&self, key: &str) {
        self.live().insert(key.to_owned(), false);
    }

    /// Notes that a job was answered. Returns whether it was cancelled.
    pub fn end(&self, key: &str) -> bool {
        self.live().remove(key).unwrap_or(false)
    }

    /// Returns whether a job was cancelled.
    pub fn is_cancelled(&self, key: &str) -> bool {
        self.live().get(key).copied().unwrap_or(false)
    }

    /// Marks a random part of the unanswered jobs as cancelled and returns their keys.
    pub fn cancel_part<R>(&self, part: f64, rng: &mut R) -> Vec<String>
    where
        R: Rng,
    {
        let mut keys = Vec::new();
        for (key, is_cancelled) in self.live().iter_mut() {
            if !*is_cancelled && rng.random_bool(part) {
                *is_cancelled = true;
                keys.push(key.clone());
            }
        }
        keys
    }

    fn live(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, bool>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
