//! The configurations that a member reports.

mod network;

use kqr_agreement::{
    Body, Configuration, DurableState, Index, Input, Machine, Message, Options, Output, Snapshot, Term,
    VoterId,
};
use kqr_types::Instant;
use network::voter;

fn voters() -> [VoterId; 3] {
    [0, 1, 2].map(|name| voter(name, 1))
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: Index(7),
        term: Term(2),
        configuration: Configuration::of_voters(voters()),
        state: Vec::new(),
    }
}

/// Creates voter 0, or one that is not among the founders if `founding` is empty.
fn member(founding: Configuration, snapshot: Option<Snapshot>) -> Machine {
    let options = Options {
        founding,
        ..Options::default()
    };
    let restored = DurableState {
        snapshot,
        ..DurableState::default()
    };
    Machine::new(voter(0, 1), options, restored)
}

/// Returns the configurations that `machine` reports while it handles `input`.
fn reported(machine: &mut Machine, input: Input) -> Vec<(Index, Configuration)> {
    let mut outputs = Vec::new();
    machine.handle(Instant(1_000_000), input, &mut outputs);
    let mut reported = Vec::new();
    for output in outputs {
        let Output::VotersChanged { index, configuration } = output else {
            continue;
        };
        reported.push((index, configuration));
    }
    reported
}

/// A restarted member did not tell who votes until the next change.
#[test]
fn a_member_reports_the_voters_of_its_snapshot_when_it_starts() {
    let snapshot = snapshot();
    let expected = vec![(snapshot.index, snapshot.configuration.clone())];
    let mut machine = member(Configuration::of_voters(voters()), Some(snapshot));
    assert_eq!(reported(&mut machine, Input::Tick), expected);
    assert_eq!(reported(&mut machine, Input::Tick), []);
}

#[test]
fn a_founder_reports_the_founders_when_it_starts() {
    let founding = Configuration::of_voters(voters());
    let mut machine = member(founding.clone(), None);
    assert_eq!(reported(&mut machine, Input::Tick), [(Index(0), founding)]);
}

/// A member that joined with a snapshot did not tell who votes until the next change.
#[test]
fn a_member_reports_the_voters_of_a_snapshot_that_it_receives() {
    let mut machine = member(Configuration::default(), None);
    assert_eq!(reported(&mut machine, Input::Tick), []);
    let snapshot = snapshot();
    let expected = vec![(snapshot.index, snapshot.configuration.clone())];
    let message = Message {
        to: voter(0, 1),
        term: Term(2),
        body: Body::Install { round: 1, snapshot },
    };
    let from = voter(1, 1);
    assert_eq!(reported(&mut machine, Input::Message { from, message }), expected);
}
