//! The owner role: targets that this entry owns, their runs, and orders that wait for capacity.

mod answers;
mod blocked_queue;
mod full_racks;
mod hanging;
mod health;
mod loads;
mod next_poll;
mod open_call;
mod orders;
mod pass_inputs;
mod phase;
mod polling;
mod probe;
mod queue_place;
mod rack_waits;
mod run;
mod runs;
mod starts;
mod target;
mod waiting_order;
mod waiting_orders;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_fleet::{FencingToken, TargetGrant, TargetRecord, TargetReport};
use kqr_types::{InstanceId, Instant, TargetId};

use crate::{
    CallId, Decision, LostRun, Options, OrderId, Output, RunEnd, RunId, TargetCall, bulk_budget::BulkBudget,
};
use open_call::OpenCall;
use pass_inputs::{CheckedTargets, PassInputs};
use phase::Phase;
use run::Run;
use target::Target;
use waiting_orders::WaitingOrders;

/// End of an order, to be sent to its coordinator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndedOrder {
    pub(crate) coordinator: InstanceId,
    pub(crate) order_id: OrderId,
    pub(crate) end: RunEnd,
    pub(crate) target: Option<TargetId>,
    /// Run time of a completed run on a target of normal speed.
    pub(crate) run_time: Option<Duration>,
}

/// The targets that this entry owns.
#[derive(Clone, Debug)]
pub(crate) struct OwnedTargets {
    options: Options,
    targets: BTreeMap<TargetId, Target>,
    /// Targets that were granted to another owner, kept until the lease of their runs has expired.
    former: Vec<Target>,
    /// Number of times that targets were added, removed or resized.
    list_number: u64,
    waiting: WaitingOrders,
    /// Targets that could run the waiting orders when that was last checked.
    checked_targets: CheckedTargets,
    /// State after the last pass over the waiting orders.
    last_pass: PassInputs,
    /// When the first of the orders that waited for their rack in that pass takes any target.
    rack_wait_ends_at: Option<Instant>,
    calls: BTreeMap<CallId, OpenCall>,
    next_call: u64,
    is_leaving: bool,
    ended: Vec<EndedOrder>,
    /// Orders whose start was sent to a target, by coordinator.
    begun: BTreeMap<InstanceId, Vec<OrderId>>,
    reports: Vec<TargetReport>,
    /// Runs whose targets went down.
    lost_runs: Vec<LostRun>,
    /// Bulk messages that may be sent while the current input is handled.
    pub(crate) bulk: BulkBudget,
    /// Since when the budget has kept waiting orders from being started.
    starts_held_since: Option<Instant>,
    /// Whether so many starts wait for the link that siblings are told that no target accepts runs.
    pub(crate) is_link_full: bool,
    /// Wait of periodic polls.
    pub(crate) poll_wait: Duration,
}

impl OwnedTargets {
    pub(crate) fn new(options: Options) -> Self {
        let waiting = WaitingOrders::new(options.queue_order);
        Self {
            poll_wait: options.max_poll_wait,
            options,
            targets: BTreeMap::new(),
            former: Vec::new(),
            list_number: 0,
            waiting,
            checked_targets: CheckedTargets::default(),
            last_pass: PassInputs::default(),
            rack_wait_ends_at: None,
            calls: BTreeMap::new(),
            next_call: 0,
            is_leaving: false,
            ended: Vec::new(),
            begun: BTreeMap::new(),
            reports: Vec::new(),
            lost_runs: Vec::new(),
            bulk: BulkBudget::default(),
            starts_held_since: None,
            is_link_full: false,
        }
    }

    /// Takes the orders that have ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<EndedOrder> {
        std::mem::take(&mut self.ended)
    }

    /// Takes the orders whose start was sent to a target since the last call, by coordinator.
    pub(crate) fn take_begun(&mut self) -> BTreeMap<InstanceId, Vec<OrderId>> {
        std::mem::take(&mut self.begun)
    }

    /// Takes the runs whose targets went down since the last call.
    pub(crate) fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }

    /// Takes the target reports to be forwarded to control.
    pub(crate) fn take_reports(&mut self) -> Vec<TargetReport> {
        std::mem::take(&mut self.reports)
    }

    /// Stops accepting orders; targets are released as they become idle.
    pub(crate) fn start_leaving(&mut self) {
        self.is_leaving = true;
        self.list_number += 1;
    }

    /// Returns whether there are no runs on owned targets and no waiting orders.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.targets.values().all(|target| target.runs.is_empty())
    }

    /// Returns the number of owned targets.
    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of runs on owned targets.
    pub(crate) fn run_count(&self) -> usize {
        self.targets.values().map(|target| target.runs.len()).sum()
    }

    /// Returns the number of waiting orders.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Replaces the set of owned targets.
    pub(crate) fn update_grants(&mut self, now: Instant, grants: &[TargetGrant], outputs: &mut Vec<Output>) {
        let mut kept = BTreeMap::new();
        for grant in grants {
            let id = grant.record.id.clone();
            let former = self.targets.remove(&id);
            let target = match former {
                Some(target) if target.token >= grant.token => target,
                Some(target) => {
                    self.former.push(target);
                    new_target(now, grant, &self.options, outputs)
                }
                None => new_target(now, grant, &self.options, outputs),
            };
            kept.insert(id, target);
        }
        for grant in grants {
            if let Some(target) = kept.get_mut(&grant.record.id) {
                let was_evacuated = target.is_evacuated;
                target.update(grant);
                log_evacuation(outputs, target, was_evacuated);
            }
        }
        let lost = std::mem::replace(&mut self.targets, kept);
        self.list_number += 1;
        for target in lost.into_values() {
            log_target_change(outputs, &target, "handed-over", format!("token {}", target.token));
            self.former.push(target);
        }
        self.tick(now, outputs);
    }

    /// Handles a report from a target. One with fields out of range is dropped. Reports are forwarded until control knows what
    /// they say.
    pub(crate) fn handle_report(&mut self, report: TargetReport, outputs: &mut Vec<Output>) {
        if report.check().is_err() {
            return;
        }
        let is_forwarded = match (&report, self.targets.get_mut(report.target())) {
            (
                TargetReport::Present {
                    record,
                    sequence,
                    is_leaving,
                },
                Some(target),
            ) => {
                let number = (record.life, *sequence);
                let is_outdated = target.last_report.is_some_and(|last| number <= last);
                let is_news = !target.is_granted_as(record, *is_leaving) || target.last_report.is_none();
                if !is_outdated {
                    target.last_report = Some(number);
                    self.list_number += u64::from(resize(target, record, outputs));
                }
                if record.life > target.record.life && target.close_until_granted() {
                    let cause = format!("incarnation {} reports", record.life);
                    log_target_change(outputs, target, "restarted", cause);
                }
                if *is_leaving && !target.is_leaving && record.life >= target.record.life {
                    target.is_leaving = true;
                    log_target_change(outputs, target, "leaving", "reported by the target".to_owned());
                }
                is_news || target.is_unresponsive()
            }
            _ => true,
        };
        if is_forwarded {
            self.reports.push(report);
        }
    }

    /// Returns the targets to be released that have no runs left.
    pub(crate) fn releasable(&self) -> Vec<(TargetId, FencingToken)> {
        let mut released = Vec::new();
        for target in self.targets.values() {
            let is_due = self.is_leaving || target.must_release || target.phase == Phase::Fenced;
            if is_due && target.runs.is_empty() {
                released.push((target.record.id.clone(), target.token));
            }
        }
        released
    }

    /// Returns the targets that have not answered for [`Options::unreachable_after`], and those of which control ignores the
    /// reports until it has removed them.
    pub(crate) fn unreachable(&self, now: Instant) -> Vec<(TargetId, FencingToken)> {
        let mut unreachable = Vec::new();
        for target in self.targets.values() {
            let is_silent = now.since(target.last_answer_at) >= self.options.unreachable_after;
            if is_silent || target.is_older_than_granted() {
                unreachable.push((target.record.id.clone(), target.token));
            }
        }
        unreachable
    }

    /// Returns a number that increases when targets are added, removed or resized.
    pub(crate) const fn list_number(&self) -> u64 {
        self.list_number
    }

    /// Returns the coordinators whose orders wait or run here.
    pub(crate) fn coordinators(&self) -> BTreeSet<&InstanceId> {
        let running = self
            .targets
            .values()
            .flat_map(|target| target.runs.coordinators());
        running.chain(self.waiting.coordinators()).collect()
    }

    /// Handles timeouts: expired leases and orders, stops to resend, and polls that are due.
    pub(crate) fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.expire_leases(now, outputs);
        self.log_withheld_leases(now, outputs);
        self.expire_waiting_orders(now, outputs);
        self.resend_stops(now, outputs);
        self.send_due_polls(now, outputs);
        self.start_waiting_orders(now, outputs);
    }

    fn is_open(&self, now: Instant, target: &Target) -> bool {
        !self.is_leaving && target.is_open(now, &self.options)
    }

    fn send_call(&mut self, open: OpenCall, call: TargetCall, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get(open.target()) else {
            return;
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        let endpoint = target.endpoint();
        self.calls.insert(id, open);
        outputs.push(Output::Call { id, endpoint, call });
    }

    fn end_order(
        &mut self,
        coordinator: InstanceId,
        order_id: OrderId,
        end: RunEnd,
        target: Option<TargetId>,
    ) {
        self.ended.push(EndedOrder {
            coordinator,
            order_id,
            end,
            target,
            run_time: None,
        });
    }

    /// Removes all runs of a target, which are known to be inactive; `proof` says why.
    fn clear_runs(&mut self, id: &TargetId, proof: &'static str, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        for run in target.runs.ids() {
            self.clear_run(id, &run, proof, outputs);
        }
    }

    /// Removes a run that is known to be inactive although the target listed no end; `proof` says why.
    fn clear_run(&mut self, id: &TargetId, run: &RunId, proof: &'static str, outputs: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let Some(removed) = target.remove(run) else { return };
        let end = target.end_of(&removed);
        outputs.push(Output::Decision(Decision::RunCleared {
            run: run.clone(),
            target: id.clone(),
            proof,
        }));
        self.end_unlisted_run(id, run.clone(), removed, end);
    }

    /// Ends the order of a run of which its target listed no end.
    fn end_unlisted_run(&mut self, id: &TargetId, run: RunId, removed: Run, end: RunEnd) {
        if let RunEnd::TargetLost(life) = end {
            self.lost_runs.push(LostRun {
                run,
                target: id.clone(),
                life,
            });
        }
        if let Some((coordinator, order_id)) = removed.ordered_by {
            self.end_order(coordinator, order_id, end, Some(id.clone()));
        }
    }
}

/// Applies the capacity that a target reports. Returns whether it has changed. Runs beyond it continue; nothing is started until they have ended.
fn resize(target: &mut Target, record: &TargetRecord, outputs: &mut Vec<Output>) -> bool {
    if target.record.capacity == record.capacity || !target.record.is_resized_to(record) {
        return false;
    }
    target.record.capacity = record.capacity;
    let cause = format!("{} thousandths of a core", record.capacity.cpu_milli);
    log_target_change(outputs, target, "resized", cause);
    true
}

fn new_target(now: Instant, grant: &TargetGrant, options: &Options, outputs: &mut Vec<Output>) -> Target {
    let target = Target::new(now, grant, options);
    log_target_change(outputs, &target, "owned", format!("token {}", grant.token));
    log_evacuation(outputs, &target, false);
    target
}

/// Logs whether the data centre of a target is evacuated, if that has changed.
fn log_evacuation(outputs: &mut Vec<Output>, target: &Target, was_evacuated: bool) {
    if target.is_evacuated == was_evacuated {
        return;
    }
    let state = if target.is_evacuated {
        "evacuated"
    } else {
        "readmitted"
    };
    let cause = format!("data centre {}", target.record.data_centre);
    log_target_change(outputs, target, state, cause);
}

/// Logs a change of the assumed state of a target.
fn log_target_change(outputs: &mut Vec<Output>, target: &Target, state: &'static str, cause: String) {
    outputs.push(Output::Decision(Decision::TargetChanged {
        target: target.record.id.clone(),
        state,
        cause,
    }));
}
