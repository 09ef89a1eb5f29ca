//! Random faults over many seeds: no task starts twice, no answer is partial, and no task that has started is
//! reported as not run.

mod cell;

use cell::Cell;
use kqr_jobs::JobState;
use kqr_types::JobKey;
use rand::RngExt;

/// Number of random faults and calls in one run.
const STEPS_PER_RUN: u64 = 40;
/// Number of seeds of one test.
const SEEDS_PER_TEST: u64 = 1_000;

fn run_seed(seed: u64) -> usize {
    let nodes = 2 + (seed % 4) as usize;
    let mut cell = Cell::new(seed, nodes, 3);
    cell.loss_probability = 0.1;
    cell.duplicate_probability = 0.1;
    cell.max_delay_us = 15_000;
    let mut attempts = [0_u32; 6];
    for _ in 0..STEPS_PER_RUN {
        apply_random_step(&mut cell, &mut attempts);
        let pause = cell.rng.random_range(0..80_000);
        cell.run(pause);
    }
    clear_faults(&mut cell);
    cell.run(12_000_000);
    cell.check();
    for node in &cell.nodes {
        let machine = node.machine.as_ref().unwrap();
        assert!(machine.is_active(), "seed {seed}: {} is not active", node.id);
        assert!(
            machine.is_complete(),
            "seed {seed}: {} lacks replicated records",
            node.id
        );
        assert_eq!(
            machine.live_jobs(),
            0,
            "seed {seed}: a job has not ended at {}",
            node.id
        );
    }
    let is_complete = |answer: &&kqr_jobs::JobAnswer| answer.state == JobState::Complete;
    cell.replies.values().flatten().filter(is_complete).count()
}

/// Clears all faults, so that all jobs must end.
fn clear_faults(cell: &mut Cell) {
    for index in 0..cell.nodes.len() {
        cell.nodes[index].is_isolated = false;
        if cell.nodes[index].machine.is_none() {
            cell.restart(index);
        }
    }
    for target in &mut cell.targets {
        target.is_refusing = false;
        if !target.is_alive {
            target.restart();
        }
    }
}

fn apply_random_step(cell: &mut Cell, attempts: &mut [u32; 6]) {
    let node = cell.rng.random_range(0..cell.nodes.len());
    let target = cell.rng.random_range(0..cell.targets.len());
    let number = cell.rng.random_range(0..attempts.len());
    let key: JobKey = format!("job-{number}").parse().unwrap();
    match cell.rng.random_range(0..20) {
        0 => cell.crash(node),
        1 | 2 if cell.nodes[node].machine.is_none() => cell.restart(node),
        3 => cell.nodes[node].is_isolated = true,
        4 | 5 => cell.nodes[node].is_isolated = false,
        6 => cell.targets[target].is_alive = false,
        7 if !cell.targets[target].is_alive => cell.targets[target].restart(),
        8 => cell.targets[target].is_refusing ^= true,
        9 => cell.targets[target].run_time_us = cell.rng.random_range(1_000..300_000),
        10 => {
            cell.cancel(node, &key);
        }
        11 => {
            cell.renounce(node, &key);
        }
        _ => {
            attempts[number] += 1;
            let tasks = 1 + (number % 4) as u16;
            cell.submit(node, &key, Some(attempts[number]), tasks);
            if cell.rng.random_bool(0.3) {
                let other = cell.rng.random_range(0..cell.nodes.len());
                cell.submit(other, &key, Some(attempts[number]), tasks);
            }
        }
    }
}

/// Runs [`SEEDS_PER_TEST`] seeds from `first` and asserts the invariants after each.
fn assert_invariants_from(first: u64) {
    let mut complete = 0;
    for seed in first..first + SEEDS_PER_TEST {
        complete += run_seed(seed);
    }
    println!("seeds from {first}: {complete} complete answers");
    assert!(
        complete > SEEDS_PER_TEST as usize,
        "seeds from {first}: only {complete} complete answers"
    );
}

#[test]
fn invariants_hold_for_first_seeds() {
    assert_invariants_from(0);
}

#[test]
fn invariants_hold_for_second_seeds() {
    assert_invariants_from(SEEDS_PER_TEST);
}

#[test]
fn invariants_hold_for_third_seeds() {
    assert_invariants_from(2 * SEEDS_PER_TEST);
}
