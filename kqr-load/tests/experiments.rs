//! Experiment files and the schedule of arrivals.

use std::{fs, path::Path, time::Duration};

use clap::Parser;
use kqr_load::{Experiment, Options, TimeText, Work, arrivals};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

quickcheck! {
    fn time_text(millis: u32) -> bool {
        let time = TimeText(Duration::from_millis(u64::from(millis)));
        time.to_string().parse() == Ok(time)
    }
}

fn example(name: &str) -> Experiment {
    let mut experiment = Experiment::read(&Path::new("../etc/experiments").join(name)).unwrap();
    experiment.entries = vec!["127.0.0.1:7101".parse().unwrap()];
    experiment
}

#[test]
fn the_example_files_are_valid() {
    for file in fs::read_dir("../etc/experiments").unwrap() {
        let name = file.unwrap().file_name();
        example(name.to_str().unwrap()).check().unwrap();
    }
}

#[test]
fn arrivals_follow_the_rates_and_the_weights() {
    for seed in 0..5 {
        let mut experiment = example("noon-surge.yaml");
        for phase in &mut experiment.phases {
            phase.length.0 *= 20;
        }
        let schedule = arrivals(&experiment, &mut ChaCha8Rng::seed_from_u64(seed));
        assert!(schedule.is_sorted_by_key(|arrival| arrival.at), "seed {seed}");
        for (index, expected) in [(0, 3200.0), (1, 6000.0), (2, 3200.0)] {
            let count = schedule.iter().filter(|arrival| arrival.phase == index).count() as f64;
            assert!(
                (count / expected - 1.0).abs() < 0.1,
                "seed {seed}, phase {index}: {count}"
            );
        }
        let large = schedule
            .iter()
            .filter(|arrival| arrival.work == Work::Job(1))
            .count() as f64;
        let part = large / schedule.len() as f64;
        assert!(
            (0.03..0.07).contains(&part),
            "seed {seed}: weight 1 of 20, but {part}"
        );
    }
}

type Change = fn(&mut Experiment);

#[test]
fn each_unusable_value_is_named() {
    let broken: [(&str, Change); 8] = [
        ("entries", |experiment| experiment.entries.clear()),
        ("phases", |experiment| experiment.phases.clear()),
        ("jobs:", |experiment| experiment.jobs.clear()),
        ("requests:", |experiment| experiment.phases[0].requests.0 = 1.0),
        ("jobs[1].tasks", |experiment| experiment.jobs[1].tasks = [1, 191]),
        ("jobs[0].run", |experiment| experiment.jobs[0].run.reverse()),
        ("resubmit.tries", |experiment| experiment.resubmit.tries = 0),
        ("resubmit.doubled", |experiment| experiment.resubmit.doubled = 1.5),
    ];
    for (path, change) in broken {
        let mut experiment = example("noon-surge.yaml");
        change(&mut experiment);
        let error = experiment.check().unwrap_err().to_string();
        assert!(error.starts_with(path), "{path}: {error}");
    }
}

#[test]
fn flags_make_up_an_experiment_with_a_surge() {
    let arguments = [
        "kqr-load",
        "--entry",
        "127.0.0.1:1",
        "--service",
        "pressverk",
        "--seconds",
        "20",
        "--max-tasks",
        "190",
    ];
    let experiment = Options::try_parse_from(arguments)
        .unwrap()
        .to_experiment()
        .unwrap();
    experiment.check().unwrap();
    assert_eq!(experiment.length(), Duration::from_secs(20));
    let rates: Vec<f64> = experiment.phases.iter().map(|phase| phase.jobs.0).collect();
    assert_eq!(rates, [20.0, 60.0, 20.0]);
    assert!(
        Options::try_parse_from(["kqr-load", "--entry", "127.0.0.1:1"]).is_err(),
        "the service is missing"
    );
}
