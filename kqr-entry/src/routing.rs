//! Brings calls about jobs to the home of their key.

use std::time::Duration;

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, home_order};
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::{EventKind, HybridTime, WastedMessage};
use kqr_types::{DataCentre, KeyDigest};
use kqr_wire::siblings::JobCall;
use tarpc::context;
use tokio::time::Instant;

use crate::{engine::Answer, entry::Entry, sibling_link::SiblingLink};

/// Forwards that a call may take: to the home data centre, then to the home, once more if that has just changed.
pub const MAX_HOPS: u8 = 3;
/// Longest time for which a call is tried again while its home changes or can't be reached.
const MAX_ROUTING: Duration = Duration::from_secs(5);
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time that a sibling has on top of the caller's deadline.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// Time that an answer to a question or a cancellation may take.
const SHORT_CALL: Duration = Duration::from_secs(30);
/// Time between two checks of a connection on which an answer is waited for.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// Where a call goes next.
enum Route {
    /// This instance is the home.
    Here,
    /// One of these instances, in the order of preference.
    Peers(Vec<Instance>),
}

impl Entry {
    /// Answers a call about a job at the home of its key in `data_centre`, or here if there is none. A call that fails
    /// on its way is sent again: its key makes that safe.
    pub async fn call(&self, call: JobCall, data_centre: Option<&DataCentre>, hops: u8) -> Answer {
        let begun = Instant::now();
        let limit = match &call {
            JobCall::Submit { submission, .. } => submission.deadline,
            JobCall::Lookup(_) | JobCall::Cancel(_) | JobCall::Renounce(_) => SHORT_CALL,
        };
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            let answer = self.try_call(remaining(&call, left), data_centre, hops).await;
            let Err(refusal) = &answer else { return answer };
            let is_passing = matches!(
                refusal.reason,
                RefusalReason::NotReady | RefusalReason::HomeUnreachable
            );
            let is_time_left = begun.elapsed() + RETRY_PAUSE < MAX_ROUTING.min(limit);
            if !is_passing || !is_time_left || hops < MAX_HOPS {
                return answer;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
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

    /// Forwards a call to the first of `peers` that can be reached.
    async fn forward(
        &self,
        call: &JobCall,
        data_centre: Option<&DataCentre>,
        peers: &[Instance],
        hops: u8,
    ) -> Answer {
        let mut failure = unreachable_home("the home of the key is not known");
        for peer in peers {
            let link = match self.links.get(&peer.id, peer.peers).await {
                Ok(link) => link,
                Err(error) => {
                    failure = unreachable_home(&format!("{} can't be reached: {error}", peer.id));
                    continue;
                }
            };
            let mut event = self.engine.events.event(EventKind::Forwarded);
            event.key = Some(call.key().clone());
            event.peer = Some(peer.id.clone());
            self.engine.events.record(event);
            self.engine.metrics.wasted(WastedMessage::Forward);
            let time = self.engine.events.time();
            match exchange(&link, call.clone(), data_centre.cloned(), hops, time).await {
                Ok(answer) => return answer,
                Err(cause) => {
                    self.links.forget(&peer.id, &link);
                    failure = unreachable_home(&format!("{} did not answer: {cause}", peer.id));
                }
            }
        }
        Err(failure)
    }
}

/// Sends a call and waits for its answer while the connection is alive.
async fn exchange(
    link: &SiblingLink,
    call: JobCall,
    data_centre: Option<DataCentre>,
    hops: u8,
    time: HybridTime,
) -> Result<Answer, String> {
    let limit = match &call {
        JobCall::Submit { submission, .. } => submission.deadline,
        JobCall::Lookup(_) | JobCall::Cancel(_) | JobCall::Renounce(_) => SHORT_CALL,
    };
    let answer = link
        .client
        .job(context_of(limit + FORWARD_MARGIN), call, data_centre, hops, time);
    tokio::select! {
        answer = answer => {
            link.note_answer();
            answer.map_err(|error| error.to_string())
        }
        () = link.lost.cancelled() => Err("the connection was lost".to_owned()),
        () = failed_probe(link) => Err("the connection is silent".to_owned()),
    }
}

/// Ends when a connection does not answer a probe.
async fn failed_probe(link: &SiblingLink) {
    loop {
        tokio::time::sleep(PROBE_EVERY).await;
        let probe = link.client.ping(context_of(SHORT_CALL));
        tokio::select! {
            answer = probe => {
                if answer.is_err() {
                    return;
                }
                link.note_answer();
            }
            () = link.silence() => return,
        }
    }
}

fn context_of(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + limit;
    cx
}

/// Returns `call` with what is left of its deadline.
fn remaining(call: &JobCall, left: Duration) -> JobCall {
    let mut call = call.clone();
    if let JobCall::Submit { submission, .. } = &mut call {
        submission.deadline = left;
    }
    call
}

/// Refuses a key whose home can't be reached: an earlier try may have reached it.
pub fn unreachable_home(detail: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HomeUnreachable,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: detail.to_owned(),
    }
}
