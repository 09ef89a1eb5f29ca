use std::time::Duration;

use kqr_types::ByteSize;
use kqr_wire::callers::{JobBody, TaskBody};
use rand::{Rng, RngExt};

use crate::{JobMix, check::Payload};

/// A job to submit.
#[derive(Clone, Debug)]
pub struct Job {
    /// Idempotency key.
    pub key: String,
    /// Body of the submission.
    pub body: JobBody,
    /// Longest true run time of a task.
    pub ideal: Duration,
    /// Time that the caller is willing to wait.
    pub deadline: Duration,
}

impl Job {
    /// Creates a job of a kind.
    pub fn new<R>(mix: &JobMix, key: String, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let mut tasks = Vec::new();
        let mut longest = 0;
        let [shortest, most] = mix.run.map(|time| time.0.as_millis() as u64);
        for index in 0..rng.random_range(mix.tasks[0]..=mix.tasks[1]) {
            let run_ms = rng.random_range(shortest..=most);
            longest = longest.max(run_ms);
            let payload = Payload {
                run_ms,
                echo: format!("{index}/{:x}", rng.random::<u32>()),
            };
            tasks.push(TaskBody {
                class: mix.class.clone(),
                payload: serde_json::to_string(&payload).unwrap_or_default(),
                run_time_ms: Some((run_ms as f64 * mix.declared).ceil() as u64),
                cores: 1,
                memory: ByteSize(0),
                accelerators: 0,
            });
        }
        Self {
            key,
            body: JobBody {
                service: mix.service.clone(),
                tasks,
            },
            ideal: Duration::from_millis(longest),
            deadline: mix.deadline.0,
        }
    }
}
