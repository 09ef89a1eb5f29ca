//! `kqr-bench`: virtual-time benchmarks of placement and admission.
#![forbid(unsafe_code)]

mod options;

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr;
use kqr_bench::{Bounds, Comparison, Scenario, check, compare};
use options::{CheckOptions, Command, Form, Options, PolicyOptions};

fn main() -> eyre::Result<ExitCode> {
    match Options::parse().command {
        Command::Policy(options) => run(&options)?,
        Command::Check(options) => return run_check(&options),
        Command::List => {
            for scenario in Scenario::all() {
                println!("{:<14} {}", scenario.name, scenario.about);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run(options: &PolicyOptions) -> eyre::Result<()> {
    let scenario = Scenario::find(&options.scenario)?;
    let load = options.load.unwrap_or(scenario.load);
    let comparison = compare(&scenario, load, options.seed);
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

fn run_check(options: &CheckOptions) -> eyre::Result<ExitCode> {
    let text = std::fs::read_to_string(&options.bounds)
        .wrap_err_with(|| format!("reading {}", options.bounds.display()))?;
    let bounds: Bounds =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("parsing {}", options.bounds.display()))?;
    let known = std::fs::read_to_string(&options.known)
        .wrap_err_with(|| format!("reading {}", options.known.display()))?;
    let mut exceeded = 0;
    for verdict in check(&bounds)? {
        let is_known = known.contains(&format!("bound {}:", verdict.bound.name));
        let word = match (verdict.holds(), is_known) {
            (true, false) => "ok",
            (true, true) => "ok, though listed as failing",
            (false, true) => "FAILS, known",
            (false, false) => "FAILS",
        };
        exceeded += u32::from(!verdict.holds() && !is_known);
        println!(
            "{word}: {}: {:.4} at seed {}",
            verdict.bound, verdict.worst, verdict.seed
        );
    }
    if exceeded > 0 {
        eprintln!("{exceeded} bounds are exceeded");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
