use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kqr_wire::siblings::SiblingClient;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// An open connection to a sibling entry.
#[derive(Clone, Debug)]
pub struct SiblingLink {
    /// Client for calls to the sibling.
    pub client: SiblingClient,
    /// Cancelled when the connection was found to be broken or silent; pending calls get no answer then.
    pub lost: CancellationToken,
    silence_timeout: Duration,
    opened: Instant,
    /// Time of the latest answer, in microseconds since the connection was opened.
    last_answer_micros: Arc<AtomicU64>,
}

impl SiblingLink {
    /// Creates a link that counts as silent after `silence_timeout` without an answer.
    pub fn new(client: SiblingClient, silence_timeout: Duration) -> Self {
        Self {
            client,
            lost: CancellationToken::new(),
            silence_timeout,
            opened: Instant::now(),
            last_answer_micros: Arc::default(),
        }
    }

    /// Records that an answer has arrived.
    pub fn record_answer(&self) {
        let micros = u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.last_answer_micros.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns once no open call has been answered for the silence timeout, counted from now on. A slow
    /// answer to one call is no silence while others are answered.
    pub async fn wait_until_silent(&self) {
        let mut since = Instant::now();
        loop {
            tokio::time::sleep_until(since + self.silence_timeout).await;
            let last_answer =
                self.opened + Duration::from_micros(self.last_answer_micros.load(Ordering::Relaxed));
            if last_answer <= since {
                return;
            }
            since = last_answer;
        }
    }
}
