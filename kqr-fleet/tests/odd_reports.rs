//! Reports with values out of range: they name no target, and true reports of the same target still count.

use kqr_fleet::{Command, FleetState, Handover, Owner, RecordError, Resources, TargetRecord, TargetReport};
use kqr_types::Incarnation;

fn record(number: u16) -> TargetRecord {
    TargetRecord {
        id: format!("target-{number}").parse().unwrap(),
        life: Incarnation(1),
        service: "press".parse().unwrap(),
        address: format!("127.0.0.1:{}", 9000 + number).parse().unwrap(),
        data_centre: "uppsala".parse().unwrap(),
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        labels: vec!["a".to_owned()],
    }
}

fn odd_records() -> Vec<(RecordError, TargetRecord)> {
    let mut endless = record(1);
    endless.capacity.cpu_milli = u64::MAX;
    let mut future = record(1);
    future.life = Incarnation(u64::MAX);
    let mut labelled = record(1);
    labelled.labels = vec!["x".repeat(4 << 20)];
    let mut many_labels = record(1);
    many_labels.labels = vec![String::new(); 1_000_000];
    let mut no_port = record(1);
    no_port.address.set_port(0);
    vec![
        (RecordError::Capacity, endless),
        (RecordError::Counter, future),
        (RecordError::Labels, labelled),
        (RecordError::Labels, many_labels),
        (RecordError::Address, no_port),
    ]
}

fn handover(record: TargetRecord) -> Handover {
    let owner = Owner {
        entry: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    Handover { record, owner }
}

#[test]
fn a_record_out_of_range_fails_the_check() {
    assert_eq!(record(1).check(), Ok(()));
    for (cause, record) in odd_records() {
        assert_eq!(record.check(), Err(cause));
    }
    let report = TargetReport::Present {
        record: record(1),
        sequence: u64::MAX,
        is_leaving: false,
    };
    assert_eq!(report.check(), Err(RecordError::Counter));
}

/// An earlier version logged such records. All instances must skip them alike, with the tokens that followed.
#[test]
fn a_record_out_of_range_in_the_log_names_no_target() {
    for (_, odd) in odd_records() {
        let mut state = FleetState::default();
        state.apply(Command::HandOver(vec![handover(record(2))]));
        state.apply(Command::HandOver(vec![handover(odd.clone())]));
        state.apply(Command::HandOver(vec![handover(record(3))]));
        state.apply(Command::Update(vec![TargetRecord {
            capacity: odd.capacity,
            ..record(2)
        }]));
        let tokens: Vec<_> = state
            .targets()
            .iter()
            .map(|(id, owned)| (id.to_string(), owned.token.0))
            .collect();
        assert_eq!(tokens, [("target-2".to_owned(), 1), ("target-3".to_owned(), 3)]);
        assert!(state.targets().values().all(|owned| owned.record.check().is_ok()));
    }
}

#[test]
fn a_record_out_of_range_in_a_snapshot_names_no_target() {
    let mut state = FleetState::default();
    state.apply(Command::HandOver(vec![handover(record(1)), handover(record(2))]));
    let snapshot = String::from_utf8(state.snapshot().unwrap()).unwrap();
    let (known, odd) = ("\"cpu_milli\":16000", "\"cpu_milli\":18446744073709551615");
    assert!(snapshot.contains(known));
    let restored = FleetState::restore(snapshot.replacen(known, odd, 1).as_bytes()).unwrap();
    let ids: Vec<_> = restored.targets().keys().map(ToString::to_string).collect();
    assert_eq!(ids, ["target-2"]);
    assert_eq!(restored.catalog_version(), None);
}
