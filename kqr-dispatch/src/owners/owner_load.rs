use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use kqr_fleet::Resources;
use kqr_types::ServiceName;

use super::{
    distance::Distance,
    free_index::{FreeKey, cpu_bucket, slowness_bucket},
};
use crate::{LoadChange, OrderId, QueuedWork, RunOrder, TargetLoad, queued_work::QueuedKind};

/// Deduction for an order that the load of its owner does not include yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Reservation {
    order: OrderId,
    place: Place,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Target {
        position: usize,
        needs: Resources,
    },
    Queue {
        kind: QueuedKind,
        rank: usize,
        work: u64,
    },
}

impl Reservation {
    pub(super) const fn on_target(order: &RunOrder, position: usize) -> Self {
        let needs = order.needs;
        Self {
            order: order.id,
            place: Place::Target { position, needs },
        }
    }

    pub(super) const fn in_queue(order: &RunOrder, rank: usize) -> Self {
        let (kind, work) = (QueuedKind::of(order, false), order.work_core_ms());
        Self {
            order: order.id,
            place: Place::Queue { kind, rank, work },
        }
    }
}

/// Load of an owner.
#[derive(Clone, Debug)]
pub(super) struct OwnerLoad {
    /// Number of the owner in the index.
    pub(super) index_number: u32,
    pub(super) distance: Distance,
    /// Rank of the owner among equal ones, which differs between coordinators.
    pub(super) spread: u32,
    pub(super) is_leaving: bool,
    /// Number of the last load that the owner sent.
    pub(super) number: u64,
    /// Last order of this entry that the load includes.
    pub(super) last_order: OrderId,
    /// Targets with the last loads that the owner sent.
    pub(super) targets: Vec<TargetLoad>,
    /// Free resources of the targets after the deduction of reservations.
    free: Vec<Resources>,
    /// Ranks of the targets among equal ones, which differ between coordinators.
    spreads: Vec<u32>,
    /// Work of waiting orders, including reservations.
    queued: QueuedWork,
    reservations: Vec<Reservation>,
    /// Total needs of the reservations on each target.
    reserved: Vec<Resources>,
    /// Total processors of the targets by service.
    cpu_milli: BTreeMap<ServiceName, u64>,
}

impl OwnerLoad {
    pub(super) fn new(
        index_number: u32,
        distance: Distance,
        spread: u32,
        targets: Vec<TargetLoad>,
        spreads: Vec<u32>,
    ) -> Self {
        let mut cpu_milli: BTreeMap<ServiceName, u64> = BTreeMap::new();
        for target in &targets {
            let total = cpu_milli.entry(target.service.clone()).or_default();
            *total = total.saturating_add(target.capacity.cpu_milli);
        }
        Self {
            index_number,
            distance,
            spread,
            is_leaving: false,
            number: 0,
            last_order: OrderId::default(),
            free: targets.iter().map(|target| target.free).collect(),
            reserved: vec![Resources::default(); targets.len()],
            targets,
            spreads,
            queued: QueuedWork::default(),
            reservations: Vec::new(),
            cpu_milli,
        }
    }

    /// Returns whether the owner is in the own data centre.
    pub(super) fn is_near(&self) -> bool {
        self.distance != Distance::Far
    }

    /// Returns the key of a target in the index, or `None` if it accepts no runs.
    pub(super) fn key(&self, position: usize) -> Option<FreeKey> {
        let target = self.targets.get(position)?;
        let is_open = target.is_open && !self.is_leaving;
        is_open.then_some(FreeKey {
            is_far: !self.is_near(),
            slowness: slowness_bucket(target.slowness),
            is_sibling: self.distance != Distance::Own,
            free: Reverse(cpu_bucket(self.free.get(position)?.cpu_milli)),
            spread: *self.spreads.get(position)?,
            owner: self.index_number,
            position: position as u32,
        })
    }

    /// Returns the free resources of a target after the deduction of reservations.
    pub(super) fn free_of(&self, position: usize) -> Option<Resources> {
        self.free.get(position).copied()
    }

    /// Returns the total processors of the targets of `service`.
    pub(super) fn service_cpu_milli(&self, service: &ServiceName) -> u64 {
        self.cpu_milli.get(service).copied().unwrap_or_default()
    }

    /// Returns the work of waiting orders, including reservations.
    pub(super) const fn queued(&self) -> QueuedWork {
        self.queued
    }

    /// Returns the queued work of at least the priority `rank`, in core-milliseconds.
    pub(super) fn queued_work(&self, rank: usize) -> u64 {
        self.queued.up_to(rank)
    }

    /// Marks a target as closed, so that it leaves the index.
    pub(super) fn close(&mut self, position: usize) {
        if let Some(target) = self.targets.get_mut(position) {
            target.is_open = false;
        }
    }

    pub(super) fn apply(&mut self, change: &LoadChange) {
        change.apply(&mut self.targets);
        self.restore_free(change.position as usize);
    }

    /// Sets the free resources of a target to the reported ones without the reservations.
    pub(super) fn restore_free(&mut self, position: usize) {
        let (Some(free), Some(target)) = (self.free.get_mut(position), self.targets.get(position)) else {
            return;
        };
        let reserved = self.reserved.get(position).copied().unwrap_or_default();
        *free = target.free - reserved;
    }

    /// Replaces the queued work. Reservations remain added.
    pub(super) fn set_queued(&mut self, queued: QueuedWork) {
        self.queued = queued;
        for reservation in &self.reservations {
            if let Place::Queue { kind, rank, work } = reservation.place {
                self.queued.add(kind, rank, work);
            }
        }
    }

    /// Deducts an order.
    pub(super) fn reserve(&mut self, reservation: Reservation) {
        match reservation.place {
            Place::Target { position, needs } => {
                if let (Some(free), Some(reserved)) =
                    (self.free.get_mut(position), self.reserved.get_mut(position))
                {
                    *free -= needs;
                    *reserved += needs;
                }
            }
            Place::Queue { kind, rank, work } => self.queued.add(kind, rank, work),
        }
        self.reservations.push(reservation);
    }

    /// Ends the reservations up to the order `last`. Returns the positions of their targets.
    pub(super) fn end_reservations(&mut self, last: OrderId) -> BTreeSet<usize> {
        let mut positions = BTreeSet::new();
        let reserved = &mut self.reserved;
        self.reservations.retain(|reservation| {
            let is_included = reservation.order <= last;
            if is_included
                && let Place::Target { position, needs } = reservation.place
                && let Some(reserved) = reserved.get_mut(position)
            {
                *reserved -= needs;
                positions.insert(position);
            }
            !is_included
        });
        positions
    }

    /// Ends all reservations. Returns the positions of their targets.
    pub(super) fn end_all_reservations(&mut self) -> BTreeSet<usize> {
        self.end_reservations(OrderId(u64::MAX))
    }
}
