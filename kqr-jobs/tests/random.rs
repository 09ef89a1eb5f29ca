//! Random faults over many seeds: no task starts twice, no answer is partial, no "not run" is false.

mod cell;

use cell::Cell;
use kqr_jobs::JobState;
use kqr_types::JobKey;
use rand::RngExt;

/// Faults and calls of one run.
const STEPS: u64 = 40;
/// Seeds of one test.
const SEEDS: u64 = 1_000;

fn run(seed: u64) -> usize {
    let nodes = 2 + (seed % 4) as usize;
    let mut cell = Cell::new(seed, nodes, 3);
    cell.loss = 0.1;
    cell.duplicates = 0.1;
    cell.most_delay = 15_000;
    let mut attempts = [0_u32; 6];
    for _ in 0..STEPS {
        step(&mut cell, &mut attempts);
        let pause = cell.rng.random_range(0..80_000);
        cell.run(pause);
    }
    heal(&mut cell);
    cell.run(12_000_000);
    cell.check();
    for node in &cell.nodes {
        let machine = node.machine.as_ref().unwrap();
        assert!(machine.is_active(), "seed {seed}: {} does not act", node.id);
        assert!(machine.is_complete(), "seed {seed}: {} has no copies", node.id);
        assert_eq!(
            machine.live_jobs(),
            0,
            "seed {seed}: a job is stranded at {}",
            node.id
        );
    }
    let is_complete = |answer: &&kqr_jobs::JobAnswer| answer.state == JobState::Complete;
    cell.replies.values().flatten().filter(is_complete).count()
}

/// Ends each fault, so that all jobs must end.
fn heal(cell: &mut Cell) {
    for index in 0..cell.nodes.len() {
        cell.nodes[index].is_cut_off = false;
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

fn step(cell: &mut Cell, attempts: &mut [u32; 6]) {
    let node = cell.rng.random_range(0..cell.nodes.len());
    let target = cell.rng.random_range(0..cell.targets.len());
    let number = cell.rng.random_range(0..attempts.len());
    let key: JobKey = format!("job-{number}").parse().unwrap();
    match cell.rng.random_range(0..20) {
        0 => cell.crash(node),
        1 | 2 if cell.nodes[node].machine.is_none() => cell.restart(node),
        3 => cell.nodes[node].is_cut_off = true,
        4 | 5 => cell.nodes[node].is_cut_off = false,
        6 => cell.targets[target].is_alive = false,
        7 if !cell.targets[target].is_alive => cell.targets[target].restart(),
        8 => cell.targets[target].is_refusing ^= true,
        9 => cell.targets[target].run_time = cell.rng.random_range(1_000..300_000),
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

/// Runs `SEEDS` seeds from `first`.
fn promises_hold_from(first: u64) {
    let mut complete = 0;
    for seed in first..first + SEEDS {
        complete += run(seed);
    }
    println!("seeds from {first}: {complete} complete answers");
    assert!(
        complete > SEEDS as usize,
        "seeds from {first}: only {complete} complete answers"
    );
}

#[test]
fn promises_hold_for_the_first_seeds() {
    promises_hold_from(0);
}

#[test]
fn promises_hold_for_the_second_seeds() {
    promises_hold_from(SEEDS);
}

#[test]
fn promises_hold_for_the_third_seeds() {
    promises_hold_from(2 * SEEDS);
}
