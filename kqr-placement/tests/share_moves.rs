//! A slot that moves between holders is unusable for one period, so random changes of demand should move
//! few slots.

use std::collections::BTreeMap;

use kqr_placement::{AllocatorInput, ResourceUnits, ShareAllocator, ShareClaim, ShareOptions, ShareReport};
use kqr_types::{CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, MemberState, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MEMBERS: usize = 6;
const TARGETS: usize = 100;
const SLOTS: u32 = 8;
const PERIODS: u64 = 200;
/// Number of initial periods that are not counted, in which the shares settle.
const WARM_UP_PERIODS: u64 = 40;
/// Mean demand of a holder.
const MEAN_DEMAND: u32 = 400;
/// Maximum random deviation from the mean demand.
const DEMAND_JITTER: u32 = 40;

fn id(member: usize) -> InstanceId {
    format!("entry-{member}").parse().unwrap()
}

fn view() -> CellView {
    let member = |id| CellMember {
        id,
        incarnation: Incarnation(1),
        weight: 1,
        state: MemberState::Full,
    };
    CellView {
        epoch: Epoch(1),
        members: (0..MEMBERS).map(id).map(member).collect(),
    }
}

/// Returns targets whose slots the first member allocates.
fn allocated_targets() -> Vec<TargetId> {
    let view = view();
    let name = |number: usize| format!("worker-{number}");
    let is_allocated = |name: &String| view.home(name).unwrap().id == id(0);
    let names = (0..).map(name).filter(is_allocated).take(TARGETS);
    names.map(|name| name.parse().unwrap()).collect()
}

fn allocator(targets: &[TargetId]) -> ShareAllocator<TargetId> {
    let units = |target: &TargetId| ResourceUnits {
        resource: target.clone(),
        units: SLOTS,
    };
    let mut allocator = ShareAllocator::new(id(0), ShareOptions::default());
    allocator.handle(Instant(0), AllocatorInput::View(view()), &mut Vec::new());
    let resources = targets.iter().map(units).collect();
    allocator.handle(Instant(0), AllocatorInput::Resources(resources), &mut Vec::new());
    allocator
}

/// Reports the units that `member` holds, applies the grants and returns the number of units given up.
fn report(
    allocator: &mut ShareAllocator<TargetId>,
    now: Instant,
    member: usize,
    held: &mut BTreeMap<TargetId, u32>,
    demand: u32,
) -> u32 {
    let claim = |(target, held): (&TargetId, &u32)| ShareClaim {
        resource: target.clone(),
        held: *held,
        demand,
    };
    let report = ShareReport {
        epoch: Epoch(1),
        from: id(member),
        number: now.0,
        sent: now,
        free: 0,
        claims: held.iter().map(claim).collect(),
    };
    let mut outputs = Vec::new();
    allocator.handle(now, AllocatorInput::Report(report), &mut outputs);
    let mut given_up = 0;
    for units in outputs.into_iter().flat_map(|output| output.grant.granted) {
        let before = held.insert(units.resource, units.units).unwrap();
        given_up += before.saturating_sub(units.units);
    }
    given_up
}

#[test]
fn random_changes_of_demand_move_less_than_one_percent_of_the_slots_per_period() {
    let targets = allocated_targets();
    for seed in 0..5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut allocator = allocator(&targets);
        let none: BTreeMap<TargetId, u32> = targets.iter().map(|target| (target.clone(), 0)).collect();
        let mut held = vec![none; MEMBERS];
        let mut given_up = 0;
        for period in 0..PERIODS {
            for (member, held) in held.iter_mut().enumerate() {
                let now = Instant(100_000 * (period + 1) + member as u64);
                let demand = rng.random_range(MEAN_DEMAND - DEMAND_JITTER..MEAN_DEMAND + DEMAND_JITTER);
                let moved = report(&mut allocator, now, member, held, demand);
                given_up += if period < WARM_UP_PERIODS { 0 } else { moved };
            }
        }
        let slots = SLOTS * TARGETS as u32;
        let per_period = f64::from(given_up) / (PERIODS - WARM_UP_PERIODS) as f64;
        assert!(
            per_period * 100.0 < f64::from(slots),
            "seed {seed}: {per_period:.1} of {slots} slots are given up per period"
        );
        let leased: u32 = held.iter().flat_map(BTreeMap::values).sum();
        assert!(
            leased * 100 >= slots * 98,
            "seed {seed}: only {leased} of {slots} slots are leased"
        );
    }
}
