//! Measures the time per pick with 400 targets and 64 classes on 1 to 8 threads. The results are comparable
//! only with each other.

use std::{hint::black_box, sync::Barrier, time::Duration, time::Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kqr_placement::{Announcement, Demand, Table, TargetKind};
use kqr_types::{ByteSize, ClassName, Incarnation, ServiceName, Slots};

const TARGETS: usize = 400;
const CLASSES: usize = 64;
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 2.0];
const OBSERVATIONS: usize = 40;

fn service() -> ServiceName {
    "proofs".parse().unwrap()
}

fn classes() -> Vec<ClassName> {
    (0..CLASSES)
        .map(|n| format!("class-{n}").parse().unwrap())
        .collect()
}

/// Returns a table with learned speeds and nine tenths of its slots in use.
fn table() -> Table {
    let table = Table::new();
    for number in 0..TARGETS {
        let announcement = Announcement {
            id: format!("worker-{number}").parse().unwrap(),
            incarnation: Incarnation(1),
            kind: TargetKind::Worker,
            service: service(),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: Slots(8),
            connections: 64,
            rack: "rack".parse().unwrap(),
            cores: 16,
            memory: ByteSize(64 << 30),
            accelerators: 0,
        };
        table.announce(&announcement);
        for class in classes().iter().take(OBSERVATIONS) {
            let run_time = Duration::from_millis(200).div_f64(SPEEDS[number % SPEEDS.len()]);
            table.record_run_time(&service(), class, &announcement.id, run_time);
        }
    }
    table.refresh();
    for _ in 0..TARGETS * 8 * 9 / 10 {
        table
            .pick(&service(), TargetKind::Worker, &Demand::request(&[], 0))
            .unwrap();
    }
    table
}

fn pick_and_release(table: &Table, service: &ServiceName, classes: &[ClassName], round: u32) {
    let spread = round.wrapping_mul(2_654_435_769);
    let mut demand = Demand::request(&[], spread);
    demand.class = Some(&classes[spread as usize % CLASSES]);
    if let Ok(target) = table.pick(service, TargetKind::Worker, &demand) {
        black_box(&target).release_slot();
    }
}

/// Returns the elapsed time for `threads` threads to make `rounds` picks each.
fn run(table: &Table, threads: u32, rounds: u32) -> Duration {
    let barrier = Barrier::new(threads as usize + 1);
    std::thread::scope(|scope| {
        let mut workers = Vec::new();
        for thread in 0..threads {
            let barrier = &barrier;
            workers.push(scope.spawn(move || {
                let (service, classes) = (service(), classes());
                barrier.wait();
                for round in 0..rounds {
                    pick_and_release(table, &service, &classes, thread * 7_919_999 + round);
                }
            }));
        }
        barrier.wait();
        let start = Instant::now();
        for worker in workers {
            worker.join().unwrap();
        }
        start.elapsed()
    })
}

fn picks(criterion: &mut Criterion) {
    let table = table();
    let mut group = criterion.benchmark_group("pick");
    for threads in [1, 2, 4, 8] {
        group.bench_function(BenchmarkId::new("threads", threads), |bencher| {
            bencher.iter_custom(|rounds| run(&table, threads, u32::try_from(rounds).unwrap()));
        });
    }
    group.finish();
}

criterion_group!(benches, picks);
criterion_main!(benches);
