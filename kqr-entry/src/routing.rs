//! Routes calls about jobs to the home of their key.

use std::time::Duration;

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, home_order};
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::{EventKind, HybridTime, WastedMessage};
use kqr_types::{DataCentre, KeyDigest};
use kqr_wire::siblings::JobCall;
use tarpc::context;
use tokio::time::Instant;

use crate::{engine::Answer, entry::Entry, sibling_link::SiblingLink};

/// Most times that a call is forwarded: to the home data centre, to the home there, and once more if the home
/// has just changed.
pub const MAX_HOPS: u8 = 3;
/// Longest time during which a call is retried while its home changes or can't be reached.
const MAX_RETRY_TIME: Duration = Duration::from_secs(5);
/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time added to the caller's deadline for the answer of a sibling.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// Timeout of calls without a deadline of their own: lookups, cancellations, renunciations and probes.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between probes of a connection with a pending call.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The next hop of a call.
enum Route {
    /// This instance is the home.
    Here,
    /// One of these instances, in order of preference.
    Peers(Vec<Instance>),
}

impl Entry {
    /// Answers a call about a job at the home of its key in `data_centre`, or here if that is `None`. A call
    /// that fails on the way is retried, which the key makes safe.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the home, or one that says why the home was not reached.
    pub async fn call(&self, call: JobCall, data_centre: Option<&DataCentre>, hops: u8) -> Answer {
        let started = Instant::now();
        let limit = match &call {
            JobCall::Submit { submission, .. } => submission.deadline,
            JobCall::Lookup(_) | JobCall::Cancel(_) | JobCall::Renounce(_) => DEFAULT_CALL_TIMEOUT,
        };
        loop {
            let remaining = limit.saturating_sub(started.elapsed());
            let answer = self
                .try_call(with_deadline(&call, remaining), data_centre, hops)
                .await;
            let Err(refusal) = &answer else { return answer };
            let is_transient = matches!(
                refusal.reason,
                RefusalReason::NotReady | RefusalReason::HomeUnreachable
            );
            let is_time_left = started.elapsed() + RETRY_DELAY < MAX_RETRY_TIME.min(limit);
            if !is_transient || !is_time_left || hops < MAX_HOPS {
                return answer;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn try_call(&self, call: JobCall, data_centre: Option<&DataCentre>, hops: u8) -> Answer {
        match self.route(&call, data_centre) {
            Route::Here => self.answer_here(call).await,
            Route::Peers(_) if hops == 0 => Err(unreachable_home("the home of the key is changing")),
            Route::Peers(peers) => self.forward(&call, data_centre, &peers, hops - 1).await,
        }
    }

    async fn answer_here(&self, call: JobCall) -> Answer {
        match call {
            JobCall::Submit {
                submission,
                is_waiting,
            } => self.engine.submit(submission, is_waiting).await,
            JobCall::Lookup(key) => self.engine.lookup(key).await,
            JobCall::Cancel(key) => self.engine.cancel(key).await,
            JobCall::Renounce(key) => self.engine.renounce(key).await,
        }
    }

    fn route(&self, call: &JobCall, data_centre: Option<&DataCentre>) -> Route {
        let key = call.key();
        let Some(data_centre) = data_centre else {
            return Route::Here;
        };
        if *data_centre != self.own.data_centre {
            return Route::Peers(self.topology.ranked_entries(data_centre, key));
        }
        let view = self.engine.view();
        let Some(home) = home_order(&view, KeyDigest::of(key)).first().copied() else {
            return Route::Here;
        };
        if home.id == self.own.id {
            return Route::Here;
        }
        Route::Peers(self.topology.entry(&home.id).cloned().into_iter().collect())
    }

    /// Forwards a call to the first of `peers` that answers.
    async fn forward(
        &self,
        call: &JobCall,
        data_centre: Option<&DataCentre>,
        peers: &[Instance],
        hops: u8,
    ) -> Answer {
        let mut failure = unreachable_home("the home of the key is unknown");
        for peer in peers {
            let link = match self.links.get(&peer.id, peer.peers).await {
                Ok(link) => link,
                Err(error) => {
                    failure = unreachable_home(&format!("{} can't be reached: {error}", peer.id));
                    continue;
                }
            };
            let mut event = self.engine.events.new_event(EventKind::Forwarded);
            event.key = Some(call.key().clone());
            event.peer = Some(peer.id.clone());
            self.engine.events.record(event);
            self.engine.metrics.count_wasted_message(WastedMessage::Forward);
            let time = self.engine.events.now();
            match exchange(&link, call.clone(), data_centre.cloned(), hops, time).await {
                Ok(answer) => return answer,
                Err(cause) => {
                    self.links.discard(&peer.id, &link);
                    failure = unreachable_home(&format!("{} did not answer: {cause}", peer.id));
                }
            }
        }
        Err(failure)
    }
}

/// Sends a call and waits for its answer as long as the connection is alive.
async fn exchange(
    link: &SiblingLink,
    call: JobCall,
    data_centre: Option<DataCentre>,
    hops: u8,
    time: HybridTime,
) -> Result<Answer, String> {
    let limit = match &call {
        JobCall::Submit { submission, .. } => submission.deadline,
        JobCall::Lookup(_) | JobCall::Cancel(_) | JobCall::Renounce(_) => DEFAULT_CALL_TIMEOUT,
    };
    let answer = link.client.job(
        context_with_timeout(limit + FORWARD_MARGIN),
        call,
        data_centre,
        hops,
        time,
    );
    tokio::select! {
        answer = answer => {
            link.record_answer();
            answer.map_err(|error| error.to_string())
        }
        () = link.lost.cancelled() => Err("the connection was lost".to_owned()),
        () = wait_for_failed_probe(link) => Err("the connection is silent".to_owned()),
    }
}

/// Probes a connection periodically. Returns once a probe fails or the connection is silent.
async fn wait_for_failed_probe(link: &SiblingLink) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let probe = link.client.ping(context_with_timeout(DEFAULT_CALL_TIMEOUT));
        tokio::select! {
            answer = probe => {
                if answer.is_err() {
                    return;
                }
                link.record_answer();
            }
            () = link.wait_until_silent() => return,
        }
    }
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// Returns a copy of `call`; the deadline of a submission is set to the `remaining` time.
fn with_deadline(call: &JobCall, remaining: Duration) -> JobCall {
    let mut call = call.clone();
    if let JobCall::Submit { submission, .. } = &mut call {
        submission.deadline = remaining;
    }
    call
}

/// Returns the refusal of a key whose home can't be reached. Its outcome is may-have-run, since an earlier
/// call may have reached the home.
pub fn unreachable_home(detail: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HomeUnreachable,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: detail.to_owned(),
    }
}
