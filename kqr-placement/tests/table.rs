//! Slot counters and learned speeds across announcements, removals and threads, and the selection of targets.

mod support;

use std::time::Duration;

use kqr_placement::{Demand, PickFailure, Table, TargetKind};
use kqr_types::{ClassName, Incarnation, Instant, ServiceName, Slots};
use support::{announcement, any_demand, service, target_id};

const WORKER: TargetKind = TargetKind::Worker;

fn class() -> ClassName {
    "proof".parse().unwrap()
}

#[test]
fn a_target_that_is_announced_again_keeps_its_used_slots_and_its_speed() {
    let table = Table::new();
    table.announce(&announcement(1, 2));
    table.announce(&announcement(2, 2));
    let slow = target_id(1);
    for _ in 0..100 {
        table.record_run_time(&service(), &class(), &slow, Duration::from_millis(400));
        table.record_run_time(&service(), &class(), &target_id(2), Duration::from_millis(100));
    }
    table.get(&slow).unwrap().take_slot();
    let speed = table.get(&slow).unwrap().speed(None);
    assert!(speed < 0.7, "speed {speed} was not learned");
    let mut again = announcement(1, 1);
    again.incarnation = Incarnation(2);
    assert!(table.announce(&again));
    let target = table.get(&slow).unwrap();
    assert_eq!(target.used_slots(), 1);
    assert_eq!(target.free_slots(), 0);
    assert_eq!(target.speed(None).to_bits(), speed.to_bits());
    table.release_slot(&slow);
    assert_eq!(table.get(&slow).unwrap().used_slots(), 0);
}

#[test]
fn slots_in_use_survive_removal_and_return_of_a_target() {
    let table = Table::new();
    table.announce(&announcement(1, 2));
    let held = table.pick(&service(), WORKER, &any_demand()).unwrap();
    table.pick(&service(), WORKER, &any_demand()).unwrap();
    assert!(table.remove(&target_id(1)));
    assert_eq!(
        table.pick(&service(), WORKER, &any_demand()).unwrap_err(),
        PickFailure::UnknownService
    );
    table.release_slot(&target_id(1));
    let mut again = announcement(1, 2);
    again.incarnation = Incarnation(2);
    table.announce(&again);
    assert_eq!(table.get(&target_id(1)).unwrap().used_slots(), 1);
    held.release_slot();
    assert_eq!(table.get(&target_id(1)).unwrap().used_slots(), 0);
    assert_eq!(table.free_slots(&service(), WORKER), 2);
}

#[test]
fn a_target_announced_after_a_removal_has_its_own_counters() {
    let table = Table::new();
    table.announce(&announcement(1, 1));
    let first = table.pick(&service(), WORKER, &any_demand()).unwrap();
    table.remove(&target_id(1));
    table.announce(&announcement(2, 1));
    let second = table.pick(&service(), WORKER, &any_demand()).unwrap();
    assert_eq!(second.announcement.id, target_id(2));
    first.release_slot();
    assert_eq!(
        table.pick(&service(), WORKER, &any_demand()).unwrap_err(),
        PickFailure::AllBusy
    );
    table.release_slot(&target_id(2));
    assert!(table.pick(&service(), WORKER, &any_demand()).is_ok());
}

#[test]
fn a_leaving_target_gets_no_new_work_until_it_restarts() {
    let table = Table::new();
    table.announce(&announcement(1, 4));
    table.pick(&service(), WORKER, &any_demand()).unwrap();
    assert!(table.set_leaving(&target_id(1)));
    assert_eq!(
        table.pick(&service(), WORKER, &any_demand()).unwrap_err(),
        PickFailure::AllBusy
    );
    let late = announcement(1, 5);
    assert!(
        !table.announce(&late),
        "a late announcement of the same incarnation was accepted"
    );
    table.release_slot(&target_id(1));
    assert!(table.pick(&service(), WORKER, &any_demand()).is_err());
    let mut again = announcement(1, 4);
    again.incarnation = Incarnation(2);
    table.announce(&again);
    assert!(table.pick(&service(), WORKER, &any_demand()).is_ok());
}

#[test]
fn the_share_and_the_cap_limit_the_slots() {
    let table = Table::new();
    table.announce(&announcement(1, 8));
    let target = table.get(&target_id(1)).unwrap();
    for (share, cap, free) in [(3, u32::MAX, 3), (3, 1, 1), (0, u32::MAX, 0), (9, u32::MAX, 8)] {
        target.set_share(share);
        target.set_cap(cap);
        for _ in 0..free {
            table.pick(&service(), WORKER, &any_demand()).unwrap();
        }
        let failure = table.pick(&service(), WORKER, &any_demand()).unwrap_err();
        assert_eq!(failure, PickFailure::AllBusy, "share {share}, cap {cap}");
        for _ in 0..free {
            table.release_slot(&target_id(1));
        }
    }
    let mut smaller = announcement(1, 2);
    smaller.slots = Slots(2);
    table.announce(&smaller);
    assert_eq!(table.get(&target_id(1)).unwrap().slot_limit(), 2);
}

#[test]
fn a_size_that_no_target_has_is_distinguished_from_busy_targets() {
    let table = Table::new();
    table.announce(&announcement(1, 1));
    let huge = Demand {
        accelerators: 1,
        ..any_demand()
    };
    assert_eq!(
        table.pick(&service(), WORKER, &huge).unwrap_err(),
        PickFailure::NoneFits
    );
    table.pick(&service(), WORKER, &any_demand()).unwrap();
    assert_eq!(
        table.pick(&service(), WORKER, &huge).unwrap_err(),
        PickFailure::NoneFits
    );
    assert_eq!(
        table.pick(&service(), WORKER, &any_demand()).unwrap_err(),
        PickFailure::AllBusy
    );
    assert_eq!(
        table
            .pick(&service(), TargetKind::Runner, &any_demand())
            .unwrap_err(),
        PickFailure::UnknownService
    );
}

#[test]
fn the_faster_target_is_picked_first_and_long_work_goes_to_the_slow_one() {
    let table = Table::new();
    table.announce(&announcement(1, 4));
    table.announce(&announcement(2, 4));
    for _ in 0..100 {
        table.record_run_time(&service(), &class(), &target_id(1), Duration::from_millis(400));
        table.record_run_time(&service(), &class(), &target_id(2), Duration::from_millis(100));
    }
    table.refresh();
    let fast = table.pick(&service(), WORKER, &any_demand()).unwrap();
    assert_eq!(fast.announcement.id, target_id(2));
    let long = Demand {
        is_long: true,
        ..any_demand()
    };
    let mut used = Vec::new();
    while let Ok(target) = table.pick(&service(), WORKER, &long) {
        used.push(target.announcement.id.clone());
    }
    assert_eq!(
        used,
        [1, 1, 1, 1, 2, 2].map(target_id),
        "long work takes three quarters of the slots, slow ones first"
    );
}

#[test]
fn long_work_takes_the_same_fraction_of_the_slots_for_any_share() {
    for (targets, share) in [(24, 1), (12, 2), (8, 3), (3, 8)] {
        let table = Table::new();
        for number in 0..targets {
            table.announce(&announcement(number, 8));
            table.get(&target_id(number)).unwrap().set_share(share);
        }
        let long = Demand {
            is_long: true,
            ..any_demand()
        };
        let mut taken = 0;
        while table.pick(&service(), WORKER, &long).is_ok() {
            taken += 1;
        }
        assert_eq!(taken, 18, "of 24 slots at {targets} targets");
    }
}

#[test]
fn long_work_leaves_free_slots_on_targets_of_each_size() {
    let table = Table::new();
    for number in 0..4 {
        let mut announcement = announcement(number, 4);
        announcement.accelerators = u32::from(number == 0);
        table.announce(&announcement);
    }
    let long = Demand {
        is_long: true,
        ..any_demand()
    };
    while table.pick(&service(), WORKER, &long).is_ok() {}
    let large = Demand {
        accelerators: 1,
        ..any_demand()
    };
    let picked = table.pick(&service(), WORKER, &large).unwrap();
    assert_eq!(picked.announcement.id, target_id(0));
    let left: u32 = table.targets().iter().map(|target| target.free_slots()).sum();
    assert_eq!(left, 3, "a quarter of 12 slots without accelerators");
}

#[test]
fn the_demand_for_each_target_is_all_work_of_its_service() {
    let table = Table::new();
    let mut other = announcement(3, 8);
    other.service = "other".parse().unwrap();
    for announcement in [announcement(1, 8), announcement(2, 8), other] {
        table.announce(&announcement);
    }
    for _ in 0..3 {
        assert!(table.get(&target_id(1)).unwrap().take_slot());
    }
    let waiting = |of: &ServiceName| if *of == service() { 5 } else { 2 };
    let usage = table.share_usage(Instant(7), waiting);
    let demands: Vec<(u32, u32)> = usage.uses.iter().map(|item| (item.used, item.demand)).collect();
    assert_eq!(demands, [(3, 8), (0, 8), (0, 2)]);
    assert_eq!((usage.free, usage.epoch_lease), (21, Instant(7)));
}

#[test]
fn threads_never_take_more_slots_than_there_are() {
    let table = Table::new();
    for number in 0..70 {
        table.announce(&announcement(number, 3));
    }
    std::thread::scope(|scope| {
        for thread in 0..4_u32 {
            let table = &table;
            scope.spawn(move || {
                for round in 0..2000_u32 {
                    let demand = Demand::request(&[], thread * 7919 + round * 104_729);
                    let Ok(target) = table.pick(&service(), WORKER, &demand) else {
                        continue;
                    };
                    assert!(target.used_slots() <= 3);
                    table.release_slot(&target.announcement.id);
                }
            });
        }
    });
    assert_eq!(table.free_slots(&service(), WORKER), 210);
    for _ in 0..210 {
        table.pick(&service(), WORKER, &any_demand()).unwrap();
    }
    assert!(table.pick(&service(), WORKER, &any_demand()).is_err());
}
