//! Share leases: the live leases of a resource never exceed its units, and shares follow the demand.

use std::{collections::BTreeMap, time::Duration};

use kqr_placement::{
    AllocatorInput, HolderInput, HolderOutput, ResourceUnits, ResourceUsage, ShareAllocator, ShareHolder,
    ShareOptions, ShareUsage,
};
use kqr_types::{CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, MemberState, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MEMBERS: usize = 3;
const TARGETS: usize = 6;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(5);
const PERIOD_STEPS: u64 = 40;
/// Duration of a member's lease on its epoch.
const EPOCH_LEASE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Message {
    ToAllocator(AllocatorInput<TargetId>),
    ToHolder(HolderInput<TargetId>),
}

struct Member {
    allocator: ShareAllocator<TargetId>,
    holder: ShareHolder<TargetId>,
    used: BTreeMap<TargetId, u32>,
    demand: u32,
    clock_rate: f64,
    is_in_view: bool,
    is_stalled: bool,
    epoch_lease: Instant,
}

struct Cell {
    seed: u64,
    rng: ChaCha8Rng,
    now: Instant,
    epoch: u64,
    loss: f64,
    period_steps: u64,
    epoch_lease_time: Duration,
    members: Vec<Member>,
    in_flight: Vec<(Instant, usize, Message)>,
}

fn target_id(target: usize) -> TargetId {
    format!("worker-{target}").parse().unwrap()
}

fn member_id(member: usize) -> InstanceId {
    format!("entry-{member}").parse().unwrap()
}

impl Cell {
    fn new(seed: u64, loss: f64) -> Self {
        let mut members = Vec::new();
        for member in 0..MEMBERS {
            let options = ShareOptions::default();
            let mut allocator = ShareAllocator::new(member_id(member), options.clone());
            let all = (0..TARGETS).map(|target| ResourceUnits {
                resource: target_id(target),
                units: SLOTS,
            });
            allocator.handle(
                Instant(0),
                AllocatorInput::Resources(all.collect()),
                &mut Vec::new(),
            );
            members.push(Member {
                allocator,
                holder: ShareHolder::new(member_id(member), options),
                used: BTreeMap::new(),
                demand: 10,
                clock_rate: 1.01 - 0.01 * member as f64,
                is_in_view: false,
                is_stalled: false,
                epoch_lease: Instant(0),
            });
        }
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let in_flight = Vec::new();
        let mut cell = Self {
            seed,
            rng,
            now: Instant(1_000_000),
            epoch: 0,
            loss,
            period_steps: PERIOD_STEPS,
            epoch_lease_time: EPOCH_LEASE,
            members,
            in_flight,
        };
        cell.change_view(&[0, 1, 2]);
        cell
    }

    fn local_clock(&self, member: usize) -> Instant {
        Instant((self.now.0 as f64 * self.members[member].clock_rate) as u64)
    }

    fn change_view(&mut self, present: &[usize]) {
        self.epoch += 1;
        let member = |member: &usize| CellMember {
            id: member_id(*member),
            incarnation: Incarnation(1),
            weight: 1,
            state: MemberState::Full,
        };
        let view = CellView {
            epoch: Epoch(self.epoch),
            members: present.iter().map(member).collect(),
        };
        for index in 0..MEMBERS {
            let now = self.local_clock(index);
            let own = &mut self.members[index];
            own.is_in_view = present.contains(&index);
            if !own.is_in_view {
                continue;
            }
            own.allocator
                .handle(now, AllocatorInput::View(view.clone()), &mut Vec::new());
            own.holder
                .handle(now, HolderInput::View(view.clone()), &mut Vec::new());
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        let to = (0..MEMBERS).find(|member| member_id(*member) == *to).unwrap();
        let is_lost = self.rng.random_bool(self.loss) && from != to;
        let is_partitioned = self.members[from].is_in_view != self.members[to].is_in_view;
        if is_lost || is_partitioned || self.members[from].is_stalled {
            return;
        }
        let longest = if self.rng.random_bool(self.loss) {
            600_000
        } else {
            2000
        };
        let delay = Duration::from_micros(self.rng.random_range(500..longest));
        if self.rng.random_bool(self.loss) {
            self.in_flight.push((self.now + delay * 2, to, message.clone()));
        }
        self.in_flight.push((self.now + delay, to, message));
    }

    fn step(&mut self, step: u64) {
        self.now = self.now + STEP;
        let (due, later) = self.in_flight.drain(..).partition(|(at, _, _)| *at <= self.now);
        self.in_flight = later;
        let due: Vec<(Instant, usize, Message)> = due;
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for member in 0..MEMBERS {
            self.run_tasks(member);
            let is_due = !self.members[member].is_stalled;
            if is_due && (step + member as u64 * 7).is_multiple_of(self.period_steps) {
                self.tick(member);
            }
        }
        self.check();
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.local_clock(to);
        match message {
            Message::ToAllocator(input) => {
                let mut outputs = Vec::new();
                self.members[to].allocator.handle(now, input, &mut outputs);
                for output in outputs {
                    let grant = HolderInput::Grant(output.grant);
                    self.send(to, &output.to, Message::ToHolder(grant));
                }
            }
            Message::ToHolder(input) => {
                self.members[to].holder.handle(now, input, &mut Vec::new());
            }
        }
    }

    /// Ends some tasks and starts others within the limits of the shares.
    fn run_tasks(&mut self, member: usize) {
        let now = self.local_clock(member);
        let own = &mut self.members[member];
        for target in (0..TARGETS).map(target_id) {
            let limit = own.holder.limit(now, &target);
            let used = own.used.entry(target).or_default();
            if self.rng.random_bool(0.3) {
                *used = used.saturating_sub(1);
            }
            let running: u32 = *used;
            if running < limit && self.rng.random_bool(f64::from(own.demand.min(50)) / 50.0) {
                *used += 1;
            }
        }
    }

    fn tick(&mut self, member: usize) {
        let now = self.local_clock(member);
        let own = &mut self.members[member];
        if own.is_in_view {
            own.epoch_lease = now + self.epoch_lease_time;
        }
        let mut uses = Vec::new();
        for (resource, used) in &own.used {
            let resource = resource.clone();
            uses.push(ResourceUsage {
                resource,
                used: *used,
                demand: own.demand,
            });
        }
        let usage = ShareUsage {
            free: 0,
            uses,
            epoch_lease: own.epoch_lease,
        };
        let mut outputs = Vec::new();
        own.holder.handle(now, HolderInput::Tick(usage), &mut outputs);
        for output in outputs {
            if let HolderOutput::Report { to, report } = output {
                self.send(member, &to, Message::ToAllocator(AllocatorInput::Report(report)));
            }
        }
    }

    fn limits(&self, target: usize) -> Vec<u32> {
        let limit = |member: usize| {
            self.members[member]
                .holder
                .limit(self.local_clock(member), &target_id(target))
        };
        (0..MEMBERS).map(limit).collect()
    }

    fn check(&self) {
        for target in 0..TARGETS {
            let limits = self.limits(target);
            let sum: u32 = limits.iter().sum();
            assert!(
                sum <= SLOTS,
                "seed {}, {:?}: target {target} is leased as {limits:?}",
                self.seed,
                self.now
            );
        }
    }
}

#[test]
fn live_leases_never_exceed_the_slots_under_loss_drift_and_epoch_changes() {
    for seed in 0..8 {
        let mut cell = Cell::new(seed, 0.2);
        let mut max_leased = 0;
        for step in 0..6000 {
            if step % 200 == 0 {
                let member = cell.rng.random_range(0..MEMBERS);
                cell.members[member].demand = cell.rng.random_range(0..100);
            }
            if step % 1400 == 700 {
                let lost = cell.rng.random_range(0..MEMBERS);
                let present: Vec<usize> = (0..MEMBERS).filter(|member| *member != lost).collect();
                cell.members[lost].is_in_view = false;
                // A new epoch starts only after the epoch lease of the lost member has expired.
                for wait in 0..220 {
                    cell.step(wait);
                }
                cell.change_view(&present);
            }
            cell.step(step);
            max_leased = max_leased.max(cell.limits(0).iter().sum());
        }
        assert!(
            max_leased >= SLOTS / 2,
            "seed {seed}: at most {max_leased} slots were leased at any time"
        );
    }
}

#[test]
fn a_stalled_holder_with_a_slow_clock_stops_before_its_slots_are_granted_again() {
    for member in 0..MEMBERS {
        let mut cell = Cell::new(1, 0.0);
        cell.epoch_lease_time = Duration::from_secs(3600);
        for step in 0..600 {
            cell.step(step);
        }
        cell.members[member].is_stalled = true;
        cell.period_steps = 2;
        for step in 600..1500 {
            cell.step(step);
        }
        let of_stalled: u32 = (0..TARGETS).map(|target| cell.limits(target)[member]).sum();
        assert_eq!(of_stalled, 0, "member {member}");
    }
}

#[test]
fn shares_follow_the_demand_and_leave_no_slot_unleased() {
    let mut cell = Cell::new(1, 0.0);
    for step in 0..1200 {
        cell.step(step);
    }
    let sums: Vec<u32> = (0..TARGETS)
        .map(|target| cell.limits(target).iter().sum())
        .collect();
    assert_eq!(sums, [SLOTS; TARGETS]);
    cell.members[0].demand = 80;
    for step in 0..400 {
        cell.step(step);
    }
    let of_first: u32 = (0..TARGETS).map(|target| cell.limits(target)[0]).sum();
    let expected = SLOTS as usize * TARGETS * 80 / 100;
    assert!(
        of_first as usize + TARGETS >= expected,
        "{of_first} slots are leased for four fifths of the demand"
    );
}

#[test]
fn the_slots_of_a_lost_member_pass_to_the_others() {
    let mut cell = Cell::new(1, 0.0);
    for step in 0..600 {
        cell.step(step);
    }
    cell.members[2].is_in_view = false;
    for step in 0..220 {
        cell.step(step);
    }
    cell.change_view(&[0, 1]);
    for step in 0..600 {
        cell.step(step);
    }
    for target in 0..TARGETS {
        let limits = cell.limits(target);
        assert_eq!(limits[0] + limits[1], SLOTS, "target {target}: {limits:?}");
    }
}
