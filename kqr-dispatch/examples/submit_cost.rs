//! Measures the processor time of submitting and abandoning a job of four tasks, by the number of known targets.
//!
//! `cargo run --release -p kqr-dispatch --example submit_cost -- TARGETS...`

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{
    Dispatcher, Input, JobRequest, LoadTargets, LoadUpdate, Options, OrderId, QueuedWork, SiblingMessage,
    StepSpec, TargetLoad,
};
use kqr_fleet::{EntryInfo, Resources};
use kqr_types::{Incarnation, Instant};

/// Targets of one owner.
const TARGETS_PER_OWNER: usize = 24;
/// Number of measured submissions.
const SUBMISSIONS: u32 = 2_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for argument in std::env::args().skip(1) {
        let targets: usize = argument.parse()?;
        let mut dispatcher = coordinator(targets)?;
        let started = std::time::Instant::now();
        for number in 0..SUBMISSIONS {
            let request = job(number)?;
            let key = request.key.clone();
            let mut outputs = Vec::new();
            dispatcher.handle(Instant(1_000_000), Input::Submit(request), &mut outputs);
            dispatcher.handle(Instant(1_000_000), Input::Abandon(key), &mut outputs);
        }
        let micros = (started.elapsed() / SUBMISSIONS).as_nanos() as f64 / 1000.0;
        println!("{targets} targets: {micros:.1} µs a submission");
    }
    Ok(())
}

/// Creates an entry without targets that knows the loads of enough owners.
fn coordinator(targets: usize) -> Result<Dispatcher, Box<dyn std::error::Error>> {
    let mut entries = vec![info("coordinator")?];
    for owner in 0..targets.div_ceil(TARGETS_PER_OWNER) {
        entries.push(info(&format!("owner-{owner}"))?);
    }
    let mut dispatcher = Dispatcher::new(entries[0].clone(), Options::default());
    let (known, owned) = (entries.clone(), Vec::new());
    let mut outputs = Vec::new();
    let view = Input::ViewChanged {
        entries: known,
        owned,
    };
    dispatcher.handle(Instant(1_000_000), view, &mut outputs);
    for (number, owner) in entries.iter().skip(1).enumerate() {
        let first = number * TARGETS_PER_OWNER;
        let mut loads = Vec::new();
        for target in first..targets.min(first + TARGETS_PER_OWNER) {
            loads.push(load(target)?);
        }
        let message = SiblingMessage::Load(LoadUpdate {
            number: 1,
            targets: LoadTargets::All(loads),
            queued: QueuedWork::default(),
            is_leaving: false,
            last_order: OrderId(0),
        });
        let from = owner.id.clone();
        dispatcher.handle(
            Instant(1_000_000),
            Input::MessageReceived {
                from,
                sent_at: Instant(1_000_000),
                message,
            },
            &mut outputs,
        );
    }
    Ok(dispatcher)
}

fn info(name: &str) -> Result<EntryInfo, Box<dyn std::error::Error>> {
    Ok(EntryInfo {
        id: name.parse()?,
        incarnation: Incarnation(1),
        data_centre: "uppsala".parse()?,
        siblings: "127.0.0.1:7000".parse()?,
        reports: "127.0.0.1:7100".parse()?,
        weight: 250,
        is_leaving: false,
    })
}

fn load(number: usize) -> Result<TargetLoad, Box<dyn std::error::Error>> {
    let capacity = Resources {
        cpu_milli: 16_000_000,
        memory_mib: 1 << 20,
        accelerators: 0,
    };
    Ok(TargetLoad {
        id: format!("target-{number}").parse()?,
        service: "press".parse()?,
        labels: Vec::new(),
        capacity,
        free: capacity,
        slowness: 0.5 + number as f32 % 16.0 / 10.0,
        is_open: true,
    })
}

fn job(number: u32) -> Result<JobRequest, Box<dyn std::error::Error>> {
    Ok(JobRequest {
        key: format!("job-{number}").parse()?,
        service: "press".parse()?,
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        objective: Duration::from_millis(60),
        time_left: Duration::from_millis(1500),
        spec: Arc::from("proof"),
        steps: vec![StepSpec {
            count: 4,
            needs: Resources {
                cpu_milli: 8_000,
                memory_mib: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(50),
            depends_on: Vec::new(),
            label: None,
            data_rack: None,
            max_per_target: None,
        }],
    })
}
