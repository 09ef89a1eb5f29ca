//! Random fault histories of a cell: leases of two epochs never overlap, and the cell converges after the
//! last fault.

mod network;

use std::time::Duration;

use kqr_membership::Input;
use network::Network;
use rand::RngExt;

const HISTORIES: u64 = 3_000;
const THREADS: u64 = 4;

/// Members and witnesses of each cell.
const CELLS: [(&[&str], &[&str]); 4] = [
    (&["a", "b", "c"], &[]),
    (&["a", "b"], &["w"]),
    (&["a", "b", "c", "d", "e"], &[]),
    (&["a"], &["w", "x"]),
];

fn disturb(network: &mut Network) {
    let ids = network.ids();
    let victim = ids[network.rng.random_range(0..ids.len())].clone();
    match network.rng.random_range(0..13) {
        0 => network.crash(&victim),
        1..=3 => network.start(&victim),
        4 => network.isolate(&victim, true),
        5..=6 => network.isolate(&victim, false),
        7 => network.handle(&victim, Input::Leave),
        8 => {
            network.crash(&victim);
            network.start(&victim);
        }
        9..=10 => {
            let other = ids[network.rng.random_range(0..ids.len())].clone();
            network.cut_links.insert((victim, other));
        }
        11 => network.cut_links.clear(),
        _ => {}
    }
}

/// Runs one history. Returns the number of lease changes that were checked and of epochs that were agreed on.
fn run_history(seed: u64) -> (u64, u64) {
    let (members, witnesses) = CELLS[seed as usize % CELLS.len()];
    let mut network = Network::new(seed, members, witnesses);
    network.has_disks = network.rng.random();
    network.loss_percent = network.rng.random_range(0..10);
    network.duplicate_percent = 10;
    network.max_delay_micros = network.rng.random_range(1_000..30_000);
    network.start_all();
    for _ in 0..40 {
        let span = Duration::from_millis(network.rng.random_range(0..700));
        network.run(span);
        disturb(&mut network);
    }
    network.loss_percent = 0;
    network.cut_links.clear();
    for id in network.ids() {
        if network
            .instances
            .get(&id)
            .is_some_and(|instance| instance.is_leaving)
        {
            network.crash(&id);
        }
        network.start(&id);
        network.isolate(&id, false);
    }
    network.run(Duration::from_secs(12));
    network.assert_no_violation();
    let description = network.describe();
    assert!(
        network.is_converged(),
        "seed {seed}: no convergence within 12 s of the last fault: {description}"
    );
    (network.lease_checks, network.views.len() as u64)
}

#[test]
fn leases_of_two_epochs_never_overlap() {
    let run_part = |part: u64| {
        let mut totals = (0, 0);
        for seed in (part..HISTORIES).step_by(THREADS as usize) {
            let (checks, epochs) = run_history(seed);
            totals = (totals.0 + checks, totals.1 + epochs);
        }
        totals
    };
    let parts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(move || run_part(part)))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let checks: u64 = parts.iter().map(|part| part.0).sum();
    let epochs: u64 = parts.iter().map(|part| part.1).sum();
    println!("{HISTORIES} histories, {checks} lease changes checked, {epochs} epochs");
    assert!(checks > 20 * HISTORIES);
    assert!(epochs > 2 * HISTORIES);
}
