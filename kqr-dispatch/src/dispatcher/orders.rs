//! The path of orders: placing tasks, starting waiting orders, and handing progress and ends to coordinators.

use std::{collections::BTreeMap, sync::Arc};

use kqr_types::{InstanceId, Instant, JobKey, TargetId};

use super::Dispatcher;
use crate::{OrderId, Output, RunEnd, RunOrder, SiblingMessage, jobs::Placement, owners::Turns};

impl Dispatcher {
    pub(super) fn end_order(
        &mut self,
        now: Instant,
        order_id: OrderId,
        end: RunEnd,
        target: Option<TargetId>,
        outputs: &mut Vec<Output>,
    ) {
        self.jobs
            .handle_ended(now, order_id, end, target, &mut self.losses, outputs);
    }

    /// Records the runs whose targets went down, and notifies the siblings: callers may submit a job again at any
    /// of them.
    fn report_target_losses(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let lost = self.owned.take_lost_runs();
        if lost.is_empty() {
            return;
        }
        for run in &lost {
            self.losses.record(now, run.clone());
        }
        for sibling in self.siblings.iter() {
            outputs.push(Output::Send {
                to: sibling.info.id.clone(),
                message: SiblingMessage::TargetsLost(lost.clone()),
            });
        }
    }

    /// Starts waiting orders, forwards the progress of orders and places ready tasks until none is left.
    pub(super) fn process_ready(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        loop {
            self.send_cancellations(now, outputs);
            self.send_taken_back(outputs);
            self.owned.start_waiting_orders(now, outputs);
            self.forward_order_progress(now, outputs);
            let ready = self.jobs.ready_jobs(now);
            if ready.is_empty() || !self.owned.bulk.has_room() {
                break;
            }
            self.refresh_own_load(now);
            for key in ready {
                self.place_tasks(now, &key, outputs);
            }
        }
        self.send_cancellations(now, outputs);
    }

    fn send_cancellations(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for (owner, order_ids) in self.jobs.take_cancelled() {
            if owner != self.own.id {
                let message = SiblingMessage::Cancel(order_ids);
                outputs.push(Output::Send { to: owner, message });
                continue;
            }
            for order_id in order_ids {
                self.owned.cancel_order(now, now, &owner, order_id, outputs);
            }
        }
    }

    /// Takes back waiting orders for which another owner has free capacity. On a busy link an order waits for the link and not
    /// for its owner, and would need the link once more.
    pub(super) fn rebalance(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.link.pressure() > 0.0 || !self.jobs.may_have_waiting_orders(now) {
            return;
        }
        self.refresh_own_load(now);
        let (mut near, mut all) = (1, 1);
        for sibling in self.siblings.iter() {
            all += 1;
            near += u64::from(sibling.info.data_centre == self.own.data_centre);
        }
        self.jobs
            .rebalance(now, &self.owners, Turns { near, all }, &self.losses, outputs);
    }

    fn send_taken_back(&mut self, outputs: &mut Vec<Output>) {
        for (owner, order_ids) in self.jobs.take_taken_back() {
            if owner != self.own.id {
                let message = SiblingMessage::TakeBack(order_ids);
                outputs.push(Output::Send { to: owner, message });
                continue;
            }
            for order_id in order_ids {
                self.owned.give_back_order(&owner, order_id);
            }
        }
    }

    /// Records orders that have begun, and notifies the owners at which other orders of the same jobs wait.
    pub(super) fn record_begun(&mut self, order_ids: &[OrderId], outputs: &mut Vec<Output>) {
        for (owner, waiting) in self.jobs.handle_begun(order_ids) {
            if owner == self.own.id {
                self.owned.mark_orders_begun(&owner, &waiting);
                continue;
            }
            let message = SiblingMessage::JobBegun(waiting);
            outputs.push(Output::Send { to: owner, message });
        }
    }

    /// Notifies coordinators of orders that have begun or ended.
    fn forward_order_progress(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.report_target_losses(now, outputs);
        for (coordinator, order_ids) in self.owned.take_begun() {
            if coordinator == self.own.id {
                self.record_begun(&order_ids, outputs);
                continue;
            }
            let message = SiblingMessage::Begun(order_ids);
            outputs.push(Output::Send {
                to: coordinator,
                message,
            });
        }
        for ended in self.owned.take_ended() {
            let (order_id, end, target) = (ended.order_id, ended.end, ended.target);
            if ended.coordinator == self.own.id {
                self.jobs.record_run_time(order_id, ended.run_time);
                self.end_order(now, order_id, end, target, outputs);
                continue;
            }
            outputs.push(Output::Send {
                to: ended.coordinator,
                message: SiblingMessage::Ended {
                    order_id,
                    end,
                    target,
                    run_time: ended.run_time,
                },
            });
        }
    }

    pub(super) fn place_tasks(&mut self, now: Instant, key: &JobKey, outputs: &mut Vec<Output>) {
        if !self.owned.bulk.has_room() {
            return;
        }
        let Some(spec) = self.jobs.spec_of(key) else {
            return;
        };
        let mut remote: BTreeMap<InstanceId, Vec<RunOrder>> = BTreeMap::new();
        for Placement { owner, order } in self.jobs.place(now, key, &mut self.owners, &self.losses, outputs) {
            if owner == self.own.id {
                self.owned
                    .accept_order(now, now, owner, Arc::clone(&spec), order, outputs);
                continue;
            }
            remote.entry(owner).or_default().push(order);
        }
        for (to, orders) in remote {
            let spec = Arc::clone(&spec);
            let message = SiblingMessage::Run { spec, orders };
            self.owned.bulk.spend(|| message.link_bytes());
            outputs.push(Output::Send { to, message });
        }
    }
}
