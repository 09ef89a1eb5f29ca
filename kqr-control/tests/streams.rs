//! Settings streams of one control instance.

mod system;

use std::time::Duration;

use kqr_agreement::{Configuration, DurableState, Machine, VoterId};
use kqr_control::{
    daemon::agreement_options,
    node::{Node, NodeInput, NodeOptions, NodeOutput, StreamId},
};
use kqr_settings::Version;
use kqr_types::{Incarnation, InstanceId, Instant};
use system::{System, control_id, id, set};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a voter of three that hears from nobody.
fn lonely_node() -> Node {
    let voter = |number| VoterId::new(control_id(number), Incarnation(1));
    let founding = Configuration::of_voters((0..3).map(voter));
    let machine = Machine::new(voter(0), agreement_options(founding, 1), DurableState::default());
    Node::new(NodeOptions::default(), machine)
}

fn follow(node: &mut Node, needs_confirmation: bool) -> Vec<NodeOutput> {
    let input = NodeInput::Follow {
        stream: StreamId(1),
        instance: id("entry-1"),
        since: None,
        needs_confirmation,
        is_last_resort: false,
    };
    handle(node, input)
}

fn handle(node: &mut Node, input: NodeInput) -> Vec<NodeOutput> {
    let mut outputs = Vec::new();
    node.handle(Instant(1), input, &mut outputs);
    outputs
}

fn confirmed(version: u64) -> NodeInput {
    NodeInput::StreamConfirmed {
        stream: StreamId(1),
        version: Version(version),
    }
}

#[test]
fn an_instance_that_lacks_the_confirmed_version_sends_no_update() {
    let mut node = lonely_node();
    let asked = follow(&mut node, true);
    assert_eq!(asked, [NodeOutput::ConfirmStream { stream: StreamId(1) }]);
    assert_eq!(handle(&mut node, confirmed(3)), []);
    let mut other = lonely_node();
    follow(&mut other, true);
    let sent = handle(&mut other, confirmed(0));
    assert!(
        matches!(
            &sent[..],
            [NodeOutput::Update {
                is_confirmed: true,
                ..
            }]
        ),
        "{sent:?}"
    );
}

#[test]
fn a_confirmation_that_does_not_come_is_asked_for_again() {
    let mut node = lonely_node();
    follow(&mut node, true);
    let mut outputs = Vec::new();
    node.handle(Instant(3_000_000), NodeInput::Tick, &mut outputs);
    assert!(
        outputs.contains(&NodeOutput::ConfirmStream { stream: StreamId(1) }),
        "{outputs:?}"
    );
    handle(&mut node, confirmed(0));
    outputs.clear();
    node.handle(Instant(6_000_000), NodeInput::Tick, &mut outputs);
    assert!(
        !outputs.contains(&NodeOutput::ConfirmStream { stream: StreamId(1) }),
        "{outputs:?}"
    );
}

#[test]
fn an_unconfirmed_stream_is_fed_at_once_and_says_so() {
    let sent = follow(&mut lonely_node(), false);
    assert!(
        matches!(
            &sent[..],
            [NodeOutput::Update {
                is_confirmed: false,
                ..
            }]
        ),
        "{sent:?}"
    );
}

#[test]
fn a_leader_leaves_streams_to_others_unless_it_is_the_last_resort() {
    let mut system = System::new(7, 3);
    system.run(4 * SECOND);
    let leader = system.leader().unwrap();
    let other = (0..3).map(control_id).find(|name| *name != leader).unwrap();
    system.add_follower("entry-1", vec![leader.clone(), other.clone()]);
    system.add_follower("entry-2", vec![leader.clone()]);
    let change = set("c1", 0, "limits/queued", "5");
    system.change_somewhere(&change, 3 * SECOND).unwrap();
    system.run(3 * SECOND);
    let fed = |system: &System, name: &InstanceId| -> Vec<InstanceId> {
        let node = system.node(name);
        node.followers().map(|(instance, _)| instance.clone()).collect()
    };
    assert_eq!(fed(&system, &leader), [id("entry-2")]);
    assert_eq!(fed(&system, &other), [id("entry-1")]);
    for entry in system.followers() {
        assert_eq!(system.applied(&entry).last().unwrap().1, Version(1), "{entry}");
    }
}
