//! Relays single requests to runners, with retries and hedges under one budget.

mod call;
mod hedge_delay;
mod relay_body;

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
use kqr_settings::schema::Rules;
use kqr_telemetry::{AnswerClass, EventKind, WastedMessage, WorkKind};
use kqr_types::TargetId;
use tokio::time::Instant;

pub use self::relay_body::RelayBody;
use self::{
    call::{Call, CallBody},
    hedge_delay::HedgeDelay,
    relay_body::SlotGuard,
};
use super::{ReplyBody, problem::Problem};
use crate::entry::Entry;

/// Second sends that are saved up.
const SAVED_SENDS: u32 = 10;
/// Difference of the spread numbers of two requests: an odd number near 2^32 over the golden ratio.
const SPREAD_STEP: u32 = 0x9E37_79B9;
/// Time between two looks for a free slot.
const SLOT_RETRY: Duration = Duration::from_millis(5);

/// The client that relays requests to runners.
#[derive(Debug)]
pub struct Relay {
    client: Client<CallBody>,
    budget: RetryBudget,
    spread: AtomicU32,
    hedge_delay: HedgeDelay,
}

impl Relay {
    /// Creates the client.
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientOptions::default()),
            budget: RetryBudget::with_max_tokens(SAVED_SENDS),
            spread: AtomicU32::new(0),
            hedge_delay: HedgeDelay::new(),
        }
    }
}

/// What the settings allow for one request.
#[derive(Clone, Copy, Debug)]
struct TryLimits {
    /// Most targets that it is sent to.
    tries: usize,
    /// Whether it may be hedged.
    is_hedging: bool,
    /// Shortest wait before a hedge.
    hedge_after: Duration,
}

impl TryLimits {
    fn of(rules: &Rules) -> Self {
        Self {
            tries: rules.attempts.0 as usize,
            is_hedging: rules.is_hedging.0,
            hedge_after: rules.hedge_after.0,
        }
    }
}

/// How one try failed.
#[derive(Debug)]
enum Failure {
    /// No byte was sent.
    NotSent(String),
    /// The target may have run the request.
    MaybeSent(String),
    /// The try was not possible.
    Refused(Problem),
}

type Try = Result<Response<ReplyBody>, Failure>;

/// Relays a request to a runner of the service named by the first part of `rest`.
pub async fn relay(
    entry: &Entry,
    rest: &str,
    req: Request<Incoming>,
) -> Result<Response<ReplyBody>, Problem> {
    let settings = entry.settings.current();
    let call = Call::parse(&settings, rest, req).await?;
    let limits = TryLimits::of(settings.service_rules(&call.service));
    let until = Instant::now() + call.deadline;
    entry.relay.budget.deposit();
    let tried = Vec::with_capacity(limits.tries);
    let mut exchange = Exchange {
        entry,
        call,
        limits,
        until,
        tried,
        is_in_flight: false,
        is_uncertain: false,
    };
    let begun = Instant::now();
    let result = match tokio::time::timeout_at(until, exchange.run()).await {
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
        .answered(WorkKind::Request, class, begun.elapsed());
    result
}

/// One relayed request and the targets that it was sent to.
struct Exchange<'a> {
    entry: &'a Entry,
    call: Call,
    limits: TryLimits,
    until: Instant,
    tried: Vec<TargetId>,
    /// Whether a try has begun of which nothing is known yet.
    is_in_flight: bool,
    /// Whether a try ended without an answer after its first byte may have left.
    is_uncertain: bool,
}

impl<'a> Exchange<'a> {
    async fn run(&mut self) -> Result<Response<ReplyBody>, Problem> {
        loop {
            let failure = match self.hedged_try().await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            self.is_in_flight = false;
            let is_last = self.tried.len() >= self.limits.tries || !self.call.is_repeatable();
            match failure {
                Failure::Refused(problem) => return Err(self.truthful(problem)),
                Failure::NotSent(cause) if is_last => return Err(self.truthful(Problem::unavailable(cause))),
                Failure::NotSent(_) => {}
                Failure::MaybeSent(cause) => {
                    self.is_uncertain = true;
                    let is_retried =
                        !is_last && self.call.is_idempotent && self.entry.relay.budget.try_withdraw();
                    if !is_retried {
                        return Err(Problem::may_have_run(StatusCode::BAD_GATEWAY, cause));
                    }
                    self.entry.engine.metrics.wasted(WastedMessage::Retry);
                }
            }
        }
    }

    /// Tries one target, and a second one if the first is slow and the request may be sent twice.
    async fn hedged_try(&mut self) -> Try {
        let slot = self.wait_for_slot().await?;
        let mut first = Box::pin(self.send(slot)?);
        let is_hedgeable = self.limits.is_hedging
            && self.call.is_idempotent
            && self.call.is_repeatable()
            && self.tried.len() < self.limits.tries;
        if !is_hedgeable {
            return first.await;
        }
        let delay = self.entry.relay.hedge_delay.get().max(self.limits.hedge_after);
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        let Ok(slot) = self.pick() else { return first.await };
        if !self.entry.relay.budget.try_withdraw() {
            return first.await;
        }
        self.entry.engine.metrics.wasted(WastedMessage::Hedge);
        let second = Box::pin(self.send(slot)?);
        // The exchange that loses is dropped, which closes its connection.
        match select(first, second).await {
            Race::Left((Ok(reply), _)) | Race::Right((Ok(reply), _)) => Ok(reply),
            Race::Left((Err(failure), second)) => second.await.map_err(|other| worse(failure, other)),
            Race::Right((Err(failure), first)) => first.await.map_err(|other| worse(failure, other)),
        }
    }

    async fn wait_for_slot(&self) -> Result<SlotGuard, Failure> {
        loop {
            match self.pick() {
                Ok(slot) => return Ok(slot),
                Err(PickFailure::AllBusy | PickFailure::AllAvoided | PickFailure::FasterSlotExpected) => {
                    tokio::time::sleep(SLOT_RETRY).await;
                }
                Err(PickFailure::UnknownService | PickFailure::NoneFits) => {
                    let detail = format!("no runner serves {}", self.call.service);
                    return Err(Failure::Refused(Problem::not_found("service", detail)));
                }
            }
        }
    }

    fn pick(&self) -> Result<SlotGuard, PickFailure> {
        let spread = self.entry.relay.spread.fetch_add(SPREAD_STEP, Ordering::Relaxed);
        let demand = Demand::request(&self.tried, spread);
        self.entry
            .engine
            .table
            .pick(&self.call.service, TargetKind::Runner, &demand)
            .map(SlotGuard)
    }

    /// Sends the request to the target whose slot is held.
    fn send(&mut self, slot: SlotGuard) -> Result<impl Future<Output = Try> + use<'a>, Failure> {
        let target = &slot.0.announcement;
        let remaining = self.until.saturating_duration_since(Instant::now());
        let req = self
            .call
            .request(target.address, remaining)
            .map_err(Failure::Refused)?;
        let entry = self.entry;
        let mut event = entry.engine.events.event(EventKind::Relayed);
        event.target = Some(target.id.clone());
        entry.engine.events.record(event);
        self.tried.push(target.id.clone());
        self.is_in_flight = true;
        let begun = Instant::now();
        Ok(async move {
            match entry.relay.client.send(req).await {
                Ok(reply) => {
                    entry.relay.hedge_delay.observe(begun.elapsed());
                    Ok(reply.map(|inner| Either::Right(RelayBody::new(inner, slot))))
                }
                Err(ClientError::NotSent(cause)) => Err(Failure::NotSent(cause)),
                Err(ClientError::MaybeSent(cause)) => Err(Failure::MaybeSent(cause)),
            }
        })
    }

    /// Corrects the outcome of a refusal after a try of which the end is not known.
    fn truthful(&self, problem: Problem) -> Problem {
        if self.is_uncertain {
            problem.after_uncertain_try()
        } else {
            problem
        }
    }
}

/// Returns the failure that leaves more open.
fn worse(left: Failure, right: Failure) -> Failure {
    if matches!(left, Failure::MaybeSent(_)) {
        left
    } else {
        right
    }
}
