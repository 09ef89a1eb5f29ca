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
    /// Calls to the sibling.
    pub client: SiblingClient,
    /// Cancelled when the connection was found to be broken or silent; open calls get no answer then.
    pub lost: CancellationToken,
    silence: Duration,
    opened: Instant,
    /// When the latest answer arrived, in microseconds since the connection was opened.
    answered: Arc<AtomicU64>,
}

impl SiblingLink {
    /// Creates a link that counts as silent after `silence` without an answer.
    pub fn new(client: SiblingClient, silence: Duration) -> Self {
        Self {
            client,
            lost: CancellationToken::new(),
            silence,
            opened: Instant::now(),
            answered: Arc::default(),
        }
    }

    /// Notes that an answer has arrived.
    pub fn record_answer(&self) {
        let passed = u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.answered.fetch_max(passed, Ordering::Relaxed);
    }

    /// Ends when no call, of those that are open from now on, was answered for the time of silence. A slow answer to one
    /// call is no silence while others are answered.
    pub async fn wait_until_silent(&self) {
        let mut since = Instant::now();
        loop {
            tokio::time::sleep_until(since + self.silence).await;
            let answered = self.opened + Duration::from_micros(self.answered.load(Ordering::Relaxed));
            if answered <= since {
                return;
            }
            since = answered;
        }
    }
}
