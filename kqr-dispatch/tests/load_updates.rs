//! Loads between entries: what is sent does not grow with the number of targets or tasks, and a coordinator deducts its
//! orders until the owner's load includes them.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{
    Dispatcher, Input, LoadChange, LoadTargets, LoadUpdate, Options, OrderId, Output, QueuedWork, RunOrder,
    SiblingMessage, TargetLoad,
};
use kqr_fleet::{EntryInfo, FencingToken, Resources, TargetGrant};
use kqr_types::{Incarnation, Instant};
use simulation::{id, job, record, target_id};

fn info(number: usize) -> EntryInfo {
    EntryInfo {
        id: id(number),
        incarnation: Incarnation(1),
        data_centre: "uppsala".parse().unwrap(),
        siblings: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
        reports: format!("127.0.0.1:{}", 7100 + number).parse().unwrap(),
        weight: 250,
        is_leaving: false,
    }
}

/// An entry whose outputs are examined.
struct Entry {
    dispatcher: Dispatcher,
    now: Instant,
}

impl Entry {
    /// Creates entry 0 of two, which owns `targets` targets.
    fn owning(targets: usize) -> Self {
        let mut entry = Self {
            dispatcher: Dispatcher::new(info(0), Options::default()),
            now: Instant(1_000_000),
        };
        let owned = (0..targets).map(|number| TargetGrant {
            record: record(number),
            token: FencingToken(1),
            is_leaving: false,
            is_evacuated: false,
            must_release: false,
        });
        entry.input(Input::ViewChanged {
            entries: vec![info(0), info(1)],
            owned: owned.collect(),
        });
        entry
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.dispatcher.handle(self.now, input, &mut outputs);
        outputs
    }

    fn receive(&mut self, message: SiblingMessage) -> Vec<SiblingMessage> {
        let from = id(1);
        messages(self.input(Input::MessageReceived {
            from,
            sent_at: self.now,
            message,
        }))
    }

    /// Lets the interval of reports pass, and returns the update sent to entry 1.
    fn next_update(&mut self) -> LoadUpdate {
        self.now = self.now + Options::default().max_report_interval;
        let sent = messages(self.input(Input::Tick));
        let update = sent.into_iter().find_map(|message| match message {
            SiblingMessage::Load(update) => Some(update),
            _ => None,
        });
        update.expect("a report is due")
    }

    /// Submits a job of `count` tasks. Returns the orders sent to entry 1.
    fn submit(&mut self, key: &str, count: u32) -> Vec<RunOrder> {
        let sent = messages(self.input(Input::Submit(job(key, count, 50))));
        let orders = sent.into_iter().filter_map(|message| match message {
            SiblingMessage::Run { orders, .. } => Some(orders),
            _ => None,
        });
        orders.flatten().collect()
    }
}

fn messages(outputs: Vec<Output>) -> Vec<SiblingMessage> {
    let sent = outputs.into_iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

fn cores(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        ..record(0).capacity
    }
}

/// Returns the first load of an owner with `targets` idle targets.
fn all_idle(targets: usize) -> SiblingMessage {
    let load = |number: usize| TargetLoad {
        id: target_id(number),
        service: "press".parse().unwrap(),
        labels: Vec::new(),
        capacity: cores(16_000),
        free: cores(16_000),
        slowness: 1.0,
        is_open: true,
    };
    update(1, LoadTargets::All((0..targets).map(load).collect()), OrderId(0))
}

fn update(number: u64, targets: LoadTargets, last_order: OrderId) -> SiblingMessage {
    SiblingMessage::Load(LoadUpdate {
        number,
        targets,
        queued: QueuedWork::default(),
        is_leaving: false,
        last_order,
    })
}

fn unchanged(number: u64, last_order: OrderId) -> SiblingMessage {
    let targets = LoadTargets::Changed {
        since: number - 1,
        changes: Vec::new(),
    };
    update(number, targets, last_order)
}

/// Full reports of all targets to all siblings filled links of 2 Mbit/s, and siblings counted each other as lost.
#[test]
fn targets_are_listed_once_and_then_only_their_changes() {
    let mut owner = Entry::owning(200);
    let first = owner.next_update();
    assert!(matches!(&first.targets, LoadTargets::All(targets) if targets.len() == 200));
    let second = owner.next_update();
    let LoadTargets::Changed { since, changes } = second.targets else {
        panic!("the list has not changed");
    };
    assert_eq!((since, changes.len()), (first.number, 0));
}

#[test]
fn a_sibling_that_lost_the_list_gets_it_again() {
    let mut owner = Entry::owning(3);
    let is_complete = |update: &LoadUpdate| matches!(update.targets, LoadTargets::All(_));
    assert!(is_complete(&owner.next_update()));
    owner.receive(SiblingMessage::LoadRequest);
    assert!(is_complete(&owner.next_update()), "after a request");
    owner.input(Input::SessionOpened {
        sibling: id(1),
        dropped: OrderId(0),
    });
    assert!(is_complete(&owner.next_update()), "after a new session");
    owner.input(Input::LinkLost { sibling: id(1) });
    assert!(is_complete(&owner.next_update()), "after a loss");
    assert!(!is_complete(&owner.next_update()));
}

#[test]
fn an_update_that_continues_an_unknown_load_is_not_applied() {
    let mut coordinator = Entry::owning(0);
    assert_eq!(
        coordinator.receive(unchanged(7, OrderId(0))),
        [SiblingMessage::LoadRequest]
    );
    assert_eq!(coordinator.receive(all_idle(1)), []);
    assert_eq!(coordinator.receive(unchanged(2, OrderId(0))), []);
    assert_eq!(
        coordinator.receive(unchanged(4, OrderId(0))),
        [SiblingMessage::LoadRequest]
    );
}

#[test]
fn changes_of_a_target_decide_about_the_next_order() {
    let mut coordinator = Entry::owning(0);
    coordinator.receive(all_idle(2));
    let change = |position, free, is_open| LoadChange {
        position,
        free: cores(free),
        slowness: 1.0,
        is_open,
    };
    let changes = vec![change(0, 6_000, true), change(1, 16_000, false)];
    coordinator.receive(update(2, LoadTargets::Changed { since: 1, changes }, OrderId(0)));
    let orders = coordinator.submit("full", 1);
    assert_eq!(orders[0].preferred_target, None, "no target has room");
    let changes = vec![change(1, 16_000, true)];
    coordinator.receive(update(3, LoadTargets::Changed { since: 2, changes }, OrderId(0)));
    let orders = coordinator.submit("open", 1);
    assert_eq!(orders[0].preferred_target, Some(target_id(1)));
}

/// With a fixed time for the way of an order, a slow link made each load release targets that were already ordered.
#[test]
fn an_order_stays_deducted_until_a_load_includes_it() {
    let mut coordinator = Entry::owning(0);
    coordinator.receive(all_idle(1));
    let first = coordinator.submit("first", 2);
    assert!(first.iter().all(|order| order.preferred_target.is_some()));
    coordinator.now = coordinator.now + Duration::from_millis(200);
    coordinator.receive(unchanged(2, OrderId(0)));
    let second = coordinator.submit("second", 1);
    assert_eq!(second[0].preferred_target, None, "the orders are on their way");
    coordinator.receive(unchanged(3, second[0].id));
    let third = coordinator.submit("third", 1);
    assert_eq!(third[0].preferred_target, Some(target_id(0)));
}

/// At a crest the queues of all owners are empty until they report. Each coordinator sent its orders to the same one.
#[test]
fn coordinators_prefer_different_targets_of_the_same_speed() {
    let mut preferred = std::collections::BTreeSet::new();
    for number in 0..20 {
        let mut own = info(0);
        own.id = id(100 + number);
        let mut coordinator = Entry {
            dispatcher: Dispatcher::new(own.clone(), Options::default()),
            now: Instant(1_000_000),
        };
        coordinator.input(Input::ViewChanged {
            entries: vec![own, info(1)],
            owned: Vec::new(),
        });
        coordinator.receive(all_idle(20));
        preferred.insert(coordinator.submit("job", 1)[0].preferred_target.clone());
    }
    assert!(preferred.len() >= 10, "{preferred:?}");
}

#[test]
fn an_owner_tells_which_orders_its_load_includes() {
    let mut owner = Entry::owning(1);
    assert_eq!(owner.next_update().last_order, OrderId(0));
    let mut coordinator = Entry::owning(0);
    coordinator.receive(all_idle(1));
    let mut orders = coordinator.submit("job", 1);
    let last = orders[0].id;
    orders[0].preferred_target = None;
    let spec = "proof".into();
    owner.receive(SiblingMessage::Run { spec, orders });
    assert_eq!(owner.next_update().last_order, last);
}

/// A job of 32 tasks with a payload of 4 KB sent 128 KB, which takes half a second at 2 Mbit/s.
#[test]
fn the_payload_of_a_job_is_sent_once_to_an_owner() {
    let mut coordinator = Entry::owning(0);
    coordinator.receive(all_idle(32));
    let sent = messages(coordinator.input(Input::Submit(job("job", 32, 50))));
    let runs = sent.iter().filter_map(|message| match message {
        SiblingMessage::Run { spec, orders } => Some((spec.as_ref(), orders.len())),
        _ => None,
    });
    assert_eq!(runs.collect::<Vec<_>>(), [("proof", 32)]);
}
