//! The exchange of loads with siblings, and which siblings take part in it.

use std::{collections::BTreeSet, time::Duration};

use kqr_types::{InstanceId, Instant};

use super::Dispatcher;
use crate::{JobRequest, LoadUpdate, Output, SiblingMessage, relations::is_assigned, survey::REPORT_TIME};

/// Number of ticks over which the reports to all siblings are spread; together they are below the interval of reports.
const TICKS_PER_ROUND: usize = 5;

/// The same at the full pressure of the link: reports sent together would fill its queue.
const MAX_BUSY_TICKS_PER_ROUND: usize = 20;
/// Time that the starts that wait for the link take, above which coordinators are to use other owners.
const MAX_HELD_STARTS: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Applies the load of a sibling, and requests the loads of all its targets if the update does not continue the
    /// known load.
    pub(super) fn apply_load(&mut self, from: &InstanceId, update: LoadUpdate, outputs: &mut Vec<Output>) {
        let Some(sibling) = self.siblings.get_mut(from) else {
            return;
        };
        let is_near = sibling.info.data_centre == self.own.data_centre;
        if !self.owners.apply(from, is_near, update) {
            outputs.push(Output::Send {
                to: from.clone(),
                message: SiblingMessage::LoadRequest,
            });
        }
    }

    /// Sends the loads of all targets with the next report to a sibling.
    pub(super) fn forget_sent_load(&mut self, sibling: &InstanceId) {
        if let Some(known) = self.siblings.get_mut(sibling) {
            known.sent_load = None;
            known.is_outdated = true;
        }
    }

    /// Reports to a sibling for a while that asks for the load.
    pub(super) fn accept_load_request(&mut self, now: Instant, from: &InstanceId) {
        self.forget_sent_load(from);
        if let Some(known) = self.siblings.get_mut(from) {
            known.requested_until = now + REPORT_TIME;
        }
    }

    /// Asks all owners that are not heard for their loads if no known target can run the job. Returns whether answers may
    /// be missing.
    pub(super) fn survey_owners(
        &mut self,
        now: Instant,
        request: &JobRequest,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.owners.is_impossible(request) {
            return false;
        }
        let siblings = self.siblings.iter().map(|sibling| &sibling.info.id);
        let unheard: Vec<_> = siblings
            .filter(|id| !self.owners.has_targets(id))
            .cloned()
            .collect();
        if unheard.is_empty() {
            return false;
        }
        if self.survey.start(now) {
            for to in unheard {
                let message = SiblingMessage::LoadRequest;
                outputs.push(Output::Send { to, message });
            }
        }
        self.survey.is_pending(now)
    }

    /// Updates the load of the own targets, before orders are placed.
    pub(super) fn refresh_own_load(&mut self, now: Instant) {
        let number = self.owned.list_number();
        if std::mem::replace(&mut self.placed_list, number) != number {
            self.owners.replace_own(&self.own.id, self.owned.load_report(now));
            return;
        }
        self.owners.refresh_own(&self.own.id, self.owned.loads(now));
        self.owners
            .refresh_own_queue(&self.own.id, self.owned.queued_work());
    }

    /// Updates the load that siblings are told. Returns whether it differs from the last one.
    fn refresh_reported_load(&mut self, now: Instant) -> bool {
        let number = self.owned.list_number();
        if std::mem::replace(&mut self.reported_list, number) != number {
            self.own_load.replace(self.owned.load_report(now));
            return true;
        }
        self.own_load
            .refresh(self.owned.loads(now), self.owned.queued_work())
    }

    /// Determines the siblings of other data centres to which this entry reports as an owner.
    fn assign_siblings(&mut self) {
        let mut near_owners: BTreeSet<InstanceId> = self.owners.near_owners().cloned().collect();
        near_owners.insert(self.own.id.clone());
        if near_owners == self.near_owners && !self.are_siblings_changed {
            return;
        }
        self.near_owners = near_owners;
        self.are_siblings_changed = false;
        let data_centres = self.siblings.data_centre_count(&self.own.data_centre);
        for sibling in self.siblings.iter_mut() {
            sibling.is_assigned = sibling.info.data_centre == self.own.data_centre
                || is_assigned(&self.own.id, &self.near_owners, &sibling.info.id, data_centres);
        }
    }

    /// Sends the load to siblings. Two entries without targets exchange no reports, and an owner reports only to a part
    /// of the entries of other data centres, but to each whose orders it has or that asked for its load.
    ///
    /// Reports are spread over several ticks: sent all at once, they would delay the orders behind them.
    pub(super) fn report_load(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let held_starts = self.owned.held_bytes(now);
        self.owned.is_link_full = held_starts > 0 && self.link.bulk_time(held_starts) > MAX_HELD_STARTS;
        let is_changed = self.refresh_reported_load(now);
        let is_owner = !self.own_load.is_empty();
        if is_owner {
            self.assign_siblings();
        }
        let options = self.paced_options();
        let served = self.owned.coordinators();
        let busy_ticks = (self.link.pressure() * MAX_BUSY_TICKS_PER_ROUND as f64) as usize;
        let mut early_reports = self.related_siblings / TICKS_PER_ROUND.max(busy_ticks) + 1;
        self.related_siblings = 0;
        for sibling in self.siblings.iter_mut() {
            sibling.is_outdated |= is_changed;
            let is_near = sibling.info.data_centre == self.own.data_centre;
            let id = &sibling.info.id;
            let is_told = sibling.is_assigned || now < sibling.requested_until;
            let is_related = (is_owner && is_told) || self.owners.has_targets(id) || served.contains(id);
            self.related_siblings += usize::from(is_related);
            if !is_related {
                continue;
            }
            let is_due = sibling.must_report(now, &options);
            if !is_due && (!sibling.may_report(now, is_near, &options) || early_reports == 0) {
                if self.link.is_limited() && now.since(sibling.last_message_at) >= options.max_silence {
                    outputs.push(heartbeat(id));
                }
                continue;
            }
            if !is_due {
                early_reports -= 1;
            }
            let received = self.received_orders.get(id).copied().unwrap_or_default();
            let update = self.own_load.update_since(sibling.sent_load, received.last());
            outputs.push(Output::Send {
                to: id.clone(),
                message: SiblingMessage::Load(update),
            });
            sibling.sent_load = Some(self.own_load.number());
            sibling.is_outdated = false;
            sibling.last_report_at = now;
        }
    }
}

/// Returns a message without content, which takes less of the link than a load.
fn heartbeat(sibling: &InstanceId) -> Output {
    Output::Send {
        to: sibling.clone(),
        message: SiblingMessage::Begun(Vec::new()),
    }
}
