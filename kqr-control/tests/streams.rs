//! Settings streams that a control instance serves.

mod simulation;

use std::time::Duration;

use kqr_agreement::{Configuration, DurableState, Machine, VoterId};
use kqr_control::{
    daemon::agreement_options,
    node::{Node, NodeInput, NodeOptions, NodeOutput, StreamId},
};
use kqr_settings::Version;
use kqr_types::{Incarnation, InstanceId, Instant};
use simulation::{Simulation, control_id, id, set_command};

const SECOND: Duration = Duration::from_secs(1);

/// Returns one of three voters, which receives no messages of the others.
fn isolated_node() -> Node {
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

fn confirmation(version: u64) -> NodeInput {
    NodeInput::StreamConfirmed {
        stream: StreamId(1),
        version: Version(version),
    }
}

#[test]
fn no_update_is_sent_before_the_confirmed_version_is_applied() {
    let mut node = isolated_node();
    let outputs = follow(&mut node, true);
    assert_eq!(outputs, [NodeOutput::ConfirmStream { stream: StreamId(1) }]);
    assert_eq!(handle(&mut node, confirmation(3)), []);
    let mut other = isolated_node();
    follow(&mut other, true);
    let outputs = handle(&mut other, confirmation(0));
    assert!(
        matches!(
            &outputs[..],
            [NodeOutput::Update {
                is_confirmed: true,
                ..
            }]
        ),
        "{outputs:?}"
    );
}

#[test]
fn missing_confirmation_is_requested_again() {
    let mut node = isolated_node();
    follow(&mut node, true);
    let mut outputs = Vec::new();
    node.handle(Instant(3_000_000), NodeInput::Tick, &mut outputs);
    assert!(
        outputs.contains(&NodeOutput::ConfirmStream { stream: StreamId(1) }),
        "{outputs:?}"
    );
    handle(&mut node, confirmation(0));
    outputs.clear();
    node.handle(Instant(6_000_000), NodeInput::Tick, &mut outputs);
    assert!(
        !outputs.contains(&NodeOutput::ConfirmStream { stream: StreamId(1) }),
        "{outputs:?}"
    );
}

#[test]
fn stream_without_confirmation_gets_an_unconfirmed_update_at_once() {
    let outputs = follow(&mut isolated_node(), false);
    assert!(
        matches!(
            &outputs[..],
            [NodeOutput::Update {
                is_confirmed: false,
                ..
            }]
        ),
        "{outputs:?}"
    );
}

#[test]
fn leader_serves_a_stream_only_as_the_last_resort() {
    let mut sim = Simulation::new(7, 3);
    sim.run_for(4 * SECOND);
    let leader = sim.leader().unwrap();
    let other = (0..3).map(control_id).find(|name| *name != leader).unwrap();
    sim.add_follower("entry-1", vec![leader.clone(), other.clone()]);
    sim.add_follower("entry-2", vec![leader.clone()]);
    let change = set_command("c1", 0, "limits/queued", "5");
    sim.submit_to_leader(&change, 3 * SECOND).unwrap();
    sim.run_for(3 * SECOND);
    let followers_of = |sim: &Simulation, name: &InstanceId| -> Vec<InstanceId> {
        let node = sim.node(name);
        node.followers().map(|(instance, _)| instance.clone()).collect()
    };
    assert_eq!(followers_of(&sim, &leader), [id("entry-2")]);
    assert_eq!(followers_of(&sim, &other), [id("entry-1")]);
    for entry in sim.followers() {
        assert_eq!(sim.applied(&entry).last().unwrap().1, Version(1), "{entry}");
    }
}
