//! Which entries exchange loads in a large fleet, and which targets are preferred while many are free.

mod simulation;

use std::{collections::BTreeMap, time::Duration};

use kqr_dispatch::{
    Dispatcher, Input, LoadTargets, LoadUpdate, Options, OrderId, Output, QueuedWork, SiblingMessage,
    TargetLoad,
};
use kqr_fleet::{EntryInfo, FencingToken, Resources, TargetGrant};
use kqr_types::{Incarnation, InstanceId, Instant};
use simulation::{job, record, target_id};

const OWNERS: usize = 6;
const FAR_ENTRIES: usize = 60;
const TICK: Duration = Duration::from_millis(15);
/// Rounds of reports after which they are spread.
const ROUNDS: u32 = 8;

fn info(name: &str, data_centre: &str) -> EntryInfo {
    EntryInfo {
        id: name.parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: data_centre.parse().unwrap(),
        siblings: "127.0.0.1:7000".parse().unwrap(),
        reports: "127.0.0.1:7100".parse().unwrap(),
        weight: 250,
        is_leaving: false,
    }
}

fn fleet() -> Vec<EntryInfo> {
    fleet_in(1)
}

/// Returns the owners in one data centre, and the other entries in `far_data_centres` other ones.
fn fleet_in(far_data_centres: usize) -> Vec<EntryInfo> {
    let owners = (0..OWNERS).map(|number| info(&format!("owner-{number}"), "uppsala"));
    let others = (0..FAR_ENTRIES).map(|number| {
        let data_centre = format!("centre-{}", number % far_data_centres);
        info(&format!("far-{number}"), &data_centre)
    });
    owners.chain(others).collect()
}

fn load(targets: Vec<TargetLoad>) -> SiblingMessage {
    SiblingMessage::Load(LoadUpdate {
        number: 1,
        targets: LoadTargets::All(targets),
        queued: QueuedWork::default(),
        is_leaving: false,
        last_order: OrderId(0),
    })
}

fn target(number: usize, slowness: f32, free_cores: u64) -> TargetLoad {
    let capacity = record(number).capacity;
    TargetLoad {
        id: target_id(number),
        service: "press".parse().unwrap(),
        labels: Vec::new(),
        capacity,
        free: Resources {
            cpu_milli: free_cores * 1000,
            ..capacity
        },
        slowness,
        is_open: true,
    }
}

fn receive(dispatcher: &mut Dispatcher, now: Instant, from: &str, message: SiblingMessage) -> Vec<Output> {
    let mut outputs = Vec::new();
    let from = from.parse().unwrap();
    dispatcher.handle(
        now,
        Input::MessageReceived {
            from,
            sent_at: now,
            message,
        },
        &mut outputs,
    );
    outputs
}

/// Creates an owner of one target that knows the other owners of its data centre.
fn owner(number: usize, now: Instant) -> Dispatcher {
    owner_in(fleet(), number, now)
}

fn owner_in(entries: Vec<EntryInfo>, number: usize, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(entries[number].clone(), Options::default());
    let owned = vec![TargetGrant {
        record: record(number),
        token: FencingToken(1),
        is_leaving: false,
        is_evacuated: false,
        must_release: false,
    }];
    dispatcher.handle(now, Input::ViewChanged { entries, owned }, &mut Vec::new());
    hear_owners(&mut dispatcher, number, now);
    dispatcher
}

/// Lets the owner `number` hear the others.
fn hear_owners(dispatcher: &mut Dispatcher, number: usize, now: Instant) {
    for other in (0..OWNERS).filter(|other| *other != number) {
        let message = load(vec![target(other, 1.0, 16)]);
        receive(dispatcher, now, &format!("owner-{other}"), message);
    }
}

/// Lets several intervals of reports pass. Returns the number of loads sent to each sibling.
fn reports(dispatcher: &mut Dispatcher, from: Instant, ticks: u32) -> BTreeMap<InstanceId, usize> {
    let mut counts = BTreeMap::new();
    for tick in 1..=ticks {
        let mut outputs = Vec::new();
        let now = from + TICK * tick;
        dispatcher.handle(now, Input::Tick, &mut outputs);
        for output in outputs {
            if let Output::Send {
                to,
                message: SiblingMessage::Load(_),
            } = output
            {
                *counts.entry(to).or_default() += 1;
            }
        }
    }
    counts
}

/// With reports of all owners to all entries, the messages of an entry grew with the fleet, and took most of its
/// processor time at 97 entries.
#[test]
fn an_entry_hears_a_few_owners_of_other_data_centres() {
    assert_eq!(heard_owners(1), 4, "of the only other data centre");
    assert_eq!(heard_owners(2), 2, "of each of two");
    assert_eq!(heard_owners(4), 1, "of each of four");
    assert_eq!(heard_owners(14), 1, "of each of fourteen");
}

/// Returns how many of the owners report to each entry of the other data centres.
fn heard_owners(far_data_centres: usize) -> usize {
    let now = Instant(1_000_000);
    let mut heard: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for number in 0..OWNERS {
        let mut dispatcher = owner_in(fleet_in(far_data_centres), number, now);
        let counts = reports(&mut dispatcher, now, 10);
        let near = counts.keys().filter(|id| id.as_str().starts_with("owner"));
        assert_eq!(near.count(), OWNERS - 1, "all of the own data centre are told");
        for id in counts.into_keys().filter(|id| id.as_str().starts_with("far")) {
            *heard.entry(id).or_default() += 1;
        }
    }
    assert_eq!(heard.len(), FAR_ENTRIES, "none is left out");
    let count = heard.values().next().copied().unwrap_or_default();
    assert!(heard.values().all(|other| *other == count), "{heard:?}");
    count
}

/// Without reports the entry would count the owner as lost, and its runs would be stopped.
#[test]
fn an_owner_keeps_reporting_to_an_entry_whose_orders_it_has() {
    let now = Instant(1_000_000);
    let mut dispatcher = owner(0, now);
    let told = reports(&mut dispatcher, now, 10);
    let mut far = fleet().into_iter().skip(OWNERS);
    let coordinator = far.find(|entry| !told.contains_key(&entry.id)).unwrap();
    let mut placing = Dispatcher::new(coordinator.clone(), Options::default());
    let (entries, owned) = (fleet(), Vec::new());
    placing.handle(now, Input::ViewChanged { entries, owned }, &mut Vec::new());
    receive(&mut placing, now, "owner-0", load(vec![target(0, 1.0, 16)]));
    let mut outputs = Vec::new();
    placing.handle(now, Input::Submit(job("job", 1, 500)), &mut outputs);
    let order = outputs.into_iter().find_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    receive(&mut dispatcher, now, coordinator.id.as_str(), order.unwrap());
    let later = now + Duration::from_millis(200);
    let told = reports(&mut dispatcher, later, 10);
    assert!(told.contains_key(&coordinator.id));
}

/// Reports that are all sent in one tick delay the orders behind them.
#[test]
fn reports_are_spread_over_ticks() {
    let now = Instant(1_000_000);
    let mut dispatcher = owner(0, now);
    let related = reports(&mut dispatcher, now, 10).len();
    let mut most = 0;
    for tick in 10..ROUNDS * 10 {
        let from = now + TICK * tick;
        if tick % 10 == 0 {
            hear_owners(&mut dispatcher, 0, from);
        }
        let sent = reports(&mut dispatcher, from, 1).values().sum();
        if tick >= (ROUNDS - 1) * 10 {
            most = most.max(sent);
        }
    }
    assert!(most <= related / 2, "{most} of {related} in one tick");
}

fn preferred_target(free_cores: u64) -> usize {
    let now = Instant(1_000_000);
    let mut dispatcher = Dispatcher::new(info("far-0", "nykoping"), Options::default());
    let (entries, owned) = (fleet(), Vec::new());
    dispatcher.handle(now, Input::ViewChanged { entries, owned }, &mut Vec::new());
    let mut targets = vec![target(0, 0.6, 16), target(1, 1.3, 16)];
    targets.extend((2..20).map(|number| target(number, 1.3, free_cores)));
    receive(&mut dispatcher, now, "owner-0", load(targets));
    let mut outputs = Vec::new();
    dispatcher.handle(now, Input::Submit(job("job", 1, 500)), &mut outputs);
    let preferred = outputs.into_iter().find_map(|output| match output {
        Output::Send {
            message: SiblingMessage::Run { orders, .. },
            ..
        } => orders.first().and_then(|order| order.preferred_target.clone()),
        _ => None,
    });
    let preferred = preferred.unwrap();
    (0..20).find(|number| target_id(*number) == preferred).unwrap()
}

/// A run of 500 ms has 860 ms. On a target of slowness 1.3 it just fits, and is late if the estimate is too low.
#[test]
fn a_fast_target_is_preferred_while_many_are_free_and_kept_free_while_most_are_busy() {
    assert_eq!(preferred_target(16), 0, "the fast one of an idle fleet");
    assert_eq!(preferred_target(0), 1, "the slow one of a busy fleet");
}

/// Creates an entry that hears one owner, whose target lacks the label of the job, and submits the job.
fn submit_with_unknown_label(now: Instant) -> (Dispatcher, Vec<Output>) {
    let mut dispatcher = Dispatcher::new(info("far-0", "nykoping"), Options::default());
    let (entries, owned) = (fleet(), Vec::new());
    dispatcher.handle(now, Input::ViewChanged { entries, owned }, &mut Vec::new());
    receive(&mut dispatcher, now, "owner-0", load(vec![target(0, 1.0, 16)]));
    let mut outputs = Vec::new();
    dispatcher.handle(now, Input::Submit(labelled_job("first")), &mut outputs);
    (dispatcher, outputs)
}

fn labelled_job(key: &str) -> kqr_dispatch::JobRequest {
    let mut request = job(key, 1, 200);
    request.steps[0].label = Some("rare".to_owned());
    request
}

fn job_ends(outputs: &[Output]) -> usize {
    let ends = outputs
        .iter()
        .filter(|output| matches!(output, Output::JobEnded { .. }));
    ends.count()
}

/// An entry hears a part of the owners, so a label that it does not know may still exist.
#[test]
fn a_job_for_a_label_of_an_unheard_owner_is_placed_after_a_survey() {
    let now = Instant(1_000_000);
    let (mut dispatcher, outputs) = submit_with_unknown_label(now);
    let asked = outputs.iter().filter(
        |output| matches!(output, Output::Send { message, .. } if *message == SiblingMessage::LoadRequest),
    );
    assert_eq!(
        asked.count(),
        OWNERS + FAR_ENTRIES - 2,
        "all but the owner that is heard and itself"
    );
    assert_eq!(job_ends(&outputs), 0);
    let mut labelled = target(7, 1.0, 16);
    labelled.labels = vec!["rare".to_owned()];
    let later = now + Duration::from_millis(150);
    let outputs = receive(&mut dispatcher, later, "owner-5", load(vec![labelled]));
    let ordered = outputs.iter().any(|output| {
        matches!(output, Output::Send { to, message: SiblingMessage::Run { .. } } if to.as_str() == "owner-5")
    });
    assert!(ordered);
}

#[test]
fn a_job_for_an_unknown_label_is_refused_when_the_survey_ends_and_later_ones_at_once() {
    let now = Instant(1_000_000);
    let (mut dispatcher, _) = submit_with_unknown_label(now);
    let mut outputs = Vec::new();
    let mut later = now;
    for _ in 0..30 {
        later = later + TICK;
        receive(&mut dispatcher, later, "owner-0", load(vec![target(0, 1.0, 16)]));
        dispatcher.handle(later, Input::Tick, &mut outputs);
    }
    assert_eq!(job_ends(&outputs), 1);
    let mut outputs = Vec::new();
    dispatcher.handle(later, Input::Submit(labelled_job("second")), &mut outputs);
    assert_eq!(job_ends(&outputs), 1);
}

#[test]
fn an_owner_reports_to_an_entry_that_asks() {
    let now = Instant(1_000_000);
    let mut dispatcher = owner(0, now);
    let told = reports(&mut dispatcher, now, 10);
    let mut far = fleet().into_iter().skip(OWNERS);
    let unassigned = far.find(|entry| !told.contains_key(&entry.id)).unwrap();
    let later = now + Duration::from_millis(150);
    receive(
        &mut dispatcher,
        later,
        unassigned.id.as_str(),
        SiblingMessage::LoadRequest,
    );
    let told = reports(&mut dispatcher, later, 10);
    assert!(told.contains_key(&unassigned.id));
}
