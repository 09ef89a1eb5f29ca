//! The encoding of commands and snapshots on the disk and between instances, byte by byte in earlier versions.

use std::collections::BTreeSet;

use bincode::Options;
use kqr_agreement::{Configuration, Index, Payload, Snapshot, Term, VoterId};
use kqr_types::Incarnation;
use serde::{Deserialize, Serialize};

/// A payload as earlier versions encoded it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierPayload {
    Empty,
    Command(Vec<u8>),
    Configuration(EarlierConfiguration),
}

/// A configuration as earlier versions encoded it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierConfiguration {
    voters: BTreeSet<VoterId>,
    learners: BTreeSet<VoterId>,
}

/// A snapshot as earlier versions encoded it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierSnapshot {
    index: Index,
    term: Term,
    configuration: EarlierConfiguration,
    state: Vec<u8>,
}

fn encode<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    bincode::DefaultOptions::new().serialize(value).unwrap()
}

/// Returns a configuration of a voter and a learner, and the same as earlier versions had it.
fn configurations() -> (Configuration, EarlierConfiguration) {
    let member = |name: &str| VoterId::new(name.parse().unwrap(), Incarnation(1));
    let (voters, learners) = (BTreeSet::from([member("one")]), BTreeSet::from([member("two")]));
    let configuration = Configuration {
        learners: learners.clone(),
        ..Configuration::of_voters(voters.clone())
    };
    (configuration, EarlierConfiguration { voters, learners })
}

#[test]
fn configurations_are_encoded_as_by_earlier_versions() {
    let (configuration, earlier) = configurations();
    let encoded = encode(&Payload::Configuration(configuration));
    assert_eq!(encoded, encode(&EarlierPayload::Configuration(earlier)));
}

#[test]
fn commands_and_snapshots_are_encoded_as_by_earlier_versions() {
    let bytes: Vec<u8> = (0..=255).cycle().take(70_000).collect();
    let command = encode(&Payload::Command(bytes.clone()));
    assert_eq!(command, encode(&EarlierPayload::Command(bytes.clone())));
    assert_eq!(encode(&Payload::Empty), encode(&EarlierPayload::Empty));
    let (configuration, earlier_configuration) = configurations();
    let snapshot = Snapshot {
        index: Index(7),
        term: Term(3),
        configuration,
        state: bytes.clone(),
    };
    let earlier = EarlierSnapshot {
        index: Index(7),
        term: Term(3),
        configuration: earlier_configuration,
        state: bytes,
    };
    assert_eq!(encode(&snapshot), encode(&earlier));
    let decoded: Payload = bincode::DefaultOptions::new().deserialize(&command).unwrap();
    assert!(matches!(decoded, Payload::Command(bytes) if bytes.len() == 70_000));
}
