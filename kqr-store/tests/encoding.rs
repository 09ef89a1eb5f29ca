//! The encoding of commands and snapshots on the disk and between instances, byte by byte in earlier versions.

use bincode::Options;
use kqr_agreement::{Configuration, Index, Payload, Snapshot, Term};
use serde::{Deserialize, Serialize};

/// A payload as earlier versions encoded it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierPayload {
    Empty,
    Command(Vec<u8>),
    Configuration(Configuration),
}

/// A snapshot as earlier versions encoded it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierSnapshot {
    index: Index,
    term: Term,
    configuration: Configuration,
    state: Vec<u8>,
}

fn encode<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    bincode::DefaultOptions::new().serialize(value).unwrap()
}

#[test]
fn commands_and_snapshots_are_encoded_as_by_earlier_versions() {
    let bytes: Vec<u8> = (0..=255).cycle().take(70_000).collect();
    let command = encode(&Payload::Command(bytes.clone()));
    assert_eq!(command, encode(&EarlierPayload::Command(bytes.clone())));
    assert_eq!(encode(&Payload::Empty), encode(&EarlierPayload::Empty));
    let snapshot = Snapshot {
        index: Index(7),
        term: Term(3),
        configuration: Configuration::default(),
        state: bytes.clone(),
    };
    let earlier = EarlierSnapshot {
        index: Index(7),
        term: Term(3),
        configuration: Configuration::default(),
        state: bytes,
    };
    assert_eq!(encode(&snapshot), encode(&earlier));
    let decoded: Payload = bincode::DefaultOptions::new().deserialize(&command).unwrap();
    assert!(matches!(decoded, Payload::Command(bytes) if bytes.len() == 70_000));
}
