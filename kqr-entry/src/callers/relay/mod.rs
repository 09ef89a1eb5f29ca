//! Relays single requests to runners, with retries and hedges that share one budget.

mod hedge_delay;
mod relay_body;
mod relay_request;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use futures::future::{Either as Race, select};
use http_body_util::Either;
use hyper::{Request, Response, StatusCode, body::Incoming};
use kqr_admission::RetryBudget;
use kqr_http::{Client, ClientError, ClientOptions};
use kqr_jobs::Outcome;
use kqr_placement::{Demand, PickFailure, TargetKind};
use kqr_settings::schema::ServiceSettings;
use kqr_telemetry::{AnswerClass, EventKind, WastedMessage, WorkKind};
use kqr_types::TargetId;
use tokio::time::Instant;

pub use self::relay_body::RelayBody;
use self::{
    hedge_delay::HedgeDelay,
    relay_body::SlotGuard,
    relay_request::{RelayRequest, TargetBody},
};
use super::{ReplyBody, problem::Problem};
use crate::entry::Entry;

/// Most retries and hedges for which the budget saves tokens.
const RETRY_BUDGET_MAX_TOKENS: u32 = 10;
/// Increment of the spread number from pick to pick: an odd number near 2^32 divided by the golden ratio.
const SPREAD_STEP: u32 = 0x9E37_79B9;
/// Delay before the next attempt to take a slot while none is free.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The client that relays requests to runners.
#[derive(Debug)]
pub struct Relay {
    client: Client<TargetBody>,
    budget: RetryBudget,
    spread: AtomicU32,
    hedge_delay: HedgeDelay,
}

impl Relay {
    /// Creates a client with a full retry budget.
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientOptions::default()),
            budget: RetryBudget::with_max_tokens(RETRY_BUDGET_MAX_TOKENS),
            spread: AtomicU32::new(0),
            hedge_delay: HedgeDelay::new(),
        }
    }
}

/// Limits that the settings give to the tries of one request.
#[derive(Clone, Copy, Debug)]
struct TryLimits {
    /// Most targets that the request is sent to.
    max_tries: usize,
    /// Whether the request may be hedged.
    is_hedging: bool,
    /// Shortest time before a hedge is sent.
    min_hedge_delay: Duration,
}

impl TryLimits {
    fn of(rules: &ServiceSettings) -> Self {
        Self {
            max_tries: rules.max_attempts.0 as usize,
            is_hedging: rules.is_hedging_enabled.0,
            min_hedge_delay: rules.hedge_delay.0,
        }
    }
}

/// The failure of one try.
#[derive(Debug)]
enum TryFailure {
    /// No byte was sent.
    NotSent(String),
    /// The target may have run the request.
    MaybeSent(String),
    /// The request can't be sent to any target.
    Refused(Problem),
}

type TryResult = Result<Response<ReplyBody>, TryFailure>;

/// Relays a request to a runner of the service that the first segment of `rest` names.
///
/// # Errors
///
/// Returns a problem if the request is invalid, or the tries that the settings allow gave no response
/// within the deadline.
pub async fn relay(
    entry: &Entry,
    rest: &str,
    req: Request<Incoming>,
) -> Result<Response<ReplyBody>, Problem> {
    let settings = entry.settings.current();
    let request = RelayRequest::parse(&settings, rest, req).await?;
    let limits = TryLimits::of(settings.service_rules(&request.service));
    let deadline = Instant::now() + request.deadline;
    entry.relay.budget.deposit();
    let tried = Vec::with_capacity(limits.max_tries);
    let mut exchange = Exchange {
        entry,
        request,
        limits,
        deadline,
        tried,
        is_in_flight: false,
        is_uncertain: false,
    };
    let started = Instant::now();
    let result = match tokio::time::timeout_at(deadline, exchange.run()).await {
        Ok(result) => result,
        Err(_) if exchange.is_in_flight || exchange.is_uncertain => Err(Problem::may_have_run(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer within the deadline",
        )),
        Err(_) => Err(Problem::unavailable("no target was free within the deadline")),
    };
    let class = match &result {
        Ok(_) => AnswerClass::InTime,
        Err(problem) if problem.outcome() == Outcome::NotRun => AnswerClass::NotRun,
        Err(_) => AnswerClass::MayHaveRun,
    };
    entry
        .engine
        .metrics
        .record_answer(WorkKind::Request, class, started.elapsed());
    result
}

/// One relayed request and the targets that it was sent to.
struct Exchange<'a> {
    entry: &'a Entry,
    request: RelayRequest,
    limits: TryLimits,
    deadline: Instant,
    tried: Vec<TargetId>,
    /// Whether a try was sent and has no result yet.
    is_in_flight: bool,
    /// Whether a try ended without an answer after a target may have received a part of it.
    is_uncertain: bool,
}

impl<'a> Exchange<'a> {
    async fn run(&mut self) -> Result<Response<ReplyBody>, Problem> {
        loop {
            let failure = match self.try_with_hedge().await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            self.is_in_flight = false;
            let is_last = self.tried.len() >= self.limits.max_tries || !self.request.is_replayable();
            match failure {
                TryFailure::Refused(problem) => return Err(self.with_outcome(problem)),
                TryFailure::NotSent(cause) if is_last => {
                    return Err(self.with_outcome(Problem::unavailable(cause)));
                }
                TryFailure::NotSent(_) => {}
                TryFailure::MaybeSent(cause) => {
                    self.is_uncertain = true;
                    let is_retried =
                        !is_last && self.request.is_idempotent && self.entry.relay.budget.try_withdraw();
                    if !is_retried {
                        return Err(Problem::may_have_run(StatusCode::BAD_GATEWAY, cause));
                    }
                    self.entry
                        .engine
                        .metrics
                        .count_wasted_message(WastedMessage::Retry);
                }
            }
        }
    }

    /// Sends the request to one target, and hedges it with a second one if the first is slow and the request
    /// may be sent twice.
    async fn try_with_hedge(&mut self) -> TryResult {
        let slot = self.wait_for_slot().await?;
        let mut first = Box::pin(self.send(slot)?);
        let is_hedgeable = self.limits.is_hedging
            && self.request.is_idempotent
            && self.request.is_replayable()
            && self.tried.len() < self.limits.max_tries;
        if !is_hedgeable {
            return first.await;
        }
        let delay = self
            .entry
            .relay
            .hedge_delay
            .get()
            .max(self.limits.min_hedge_delay);
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        let Ok(slot) = self.pick_slot() else {
            return first.await;
        };
        if !self.entry.relay.budget.try_withdraw() {
            return first.await;
        }
        self.entry
            .engine
            .metrics
            .count_wasted_message(WastedMessage::Hedge);
        let second = Box::pin(self.send(slot)?);
        // The slower exchange is dropped, which closes its connection.
        match select(first, second).await {
            Race::Left((Ok(reply), _)) | Race::Right((Ok(reply), _)) => Ok(reply),
            Race::Left((Err(failure), second)) => {
                second.await.map_err(|other| more_uncertain(failure, other))
            }
            Race::Right((Err(failure), first)) => first.await.map_err(|other| more_uncertain(failure, other)),
        }
    }

    /// Waits until a runner of the service has a free slot, and takes it.
    async fn wait_for_slot(&self) -> Result<SlotGuard, TryFailure> {
        loop {
            match self.pick_slot() {
                Ok(slot) => return Ok(slot),
                Err(PickFailure::AllBusy | PickFailure::AllAvoided | PickFailure::FasterSlotExpected) => {
                    tokio::time::sleep(SLOT_RETRY_DELAY).await;
                }
                Err(PickFailure::UnknownService | PickFailure::NoneFits) => {
                    let detail = format!("no runner serves {}", self.request.service);
                    return Err(TryFailure::Refused(Problem::not_found("service", detail)));
                }
            }
        }
    }

    /// Takes a slot of a runner that was not tried before.
    fn pick_slot(&self) -> Result<SlotGuard, PickFailure> {
        let spread = self.entry.relay.spread.fetch_add(SPREAD_STEP, Ordering::Relaxed);
        let demand = Demand::request(&self.tried, spread);
        self.entry
            .engine
            .table
            .pick(&self.request.service, TargetKind::Runner, &demand)
            .map(SlotGuard)
    }

    /// Sends the request to the target whose `slot` is held.
    fn send(&mut self, slot: SlotGuard) -> Result<impl Future<Output = TryResult> + use<'a>, TryFailure> {
        let target = &slot.0.announcement;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let req = self
            .request
            .build(target.address, remaining)
            .map_err(TryFailure::Refused)?;
        let entry = self.entry;
        let mut event = entry.engine.events.new_event(EventKind::Relayed);
        event.target = Some(target.id.clone());
        entry.engine.events.record(event);
        self.tried.push(target.id.clone());
        self.is_in_flight = true;
        let started = Instant::now();
        Ok(async move {
            match entry.relay.client.send(req).await {
                Ok(reply) => {
                    entry.relay.hedge_delay.observe(started.elapsed());
                    Ok(reply.map(|inner| Either::Right(RelayBody::new(inner, slot))))
                }
                Err(ClientError::NotSent(cause) | ClientError::Refused(cause)) => {
                    Err(TryFailure::NotSent(cause))
                }
                Err(ClientError::MaybeSent(cause)) => Err(TryFailure::MaybeSent(cause)),
            }
        })
    }

    /// Returns `problem` with the outcome may-have-run if an earlier try may have reached a target.
    fn with_outcome(&self, problem: Problem) -> Problem {
        if self.is_uncertain {
            problem.into_may_have_run()
        } else {
            problem
        }
    }
}

/// Returns the failure after which the request may have been run, if either is one.
fn more_uncertain(left: TryFailure, right: TryFailure) -> TryFailure {
    if matches!(left, TryFailure::MaybeSent(_)) {
        left
    } else {
        right
    }
}
