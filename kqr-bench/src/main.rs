//! `kqr-bench`: virtual-time benchmarks of placement and admission.
#![forbid(unsafe_code)]

mod options;

use clap::Parser;
use eyre::eyre;
use kqr_bench::{Comparison, Scenario, compare};
use options::{Command, Form, Options, PolicyOptions};

fn main() -> eyre::Result<()> {
    match Options::parse().command {
        Command::Policy(options) => run(&options),
        Command::List => {
            for scenario in Scenario::all() {
                println!("{:<14} {}", scenario.name, scenario.about);
            }
            Ok(())
        }
    }
}

fn run(options: &PolicyOptions) -> eyre::Result<()> {
    let all = Scenario::all();
    let found = all.iter().find(|scenario| scenario.name == options.scenario);
    let scenario = found.ok_or_else(|| eyre!("no scenario is named {}; see list", options.scenario))?;
    let load = options.load.unwrap_or(scenario.load);
    let comparison = compare(scenario, load, options.seed);
    match options.output {
        Form::Json => println!("{}", serde_json::to_string_pretty(&comparison)?),
        Form::Text => print(&comparison),
    }
    Ok(())
}

fn print(comparison: &Comparison) {
    for (policy, measures) in comparison {
        for (measure, value) in measures {
            println!("{policy:<14} {measure:<20} {value:.4}");
        }
    }
}
