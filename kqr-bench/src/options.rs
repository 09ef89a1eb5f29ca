use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Virtual-time benchmarks of placement and admission.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Options {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a scenario with all policies.
    Policy(PolicyOptions),
    /// Lists the scenarios.
    List,
    /// Holds all bounds and exits with 1 if any is exceeded that is not known to be.
    Check(CheckOptions),
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// One line for each policy and measure.
    Text,
    /// One JSON object.
    Json,
}

/// Options of `policy`.
#[derive(Debug, clap::Args)]
pub struct PolicyOptions {
    /// Name of the scenario.
    #[arg(long, default_value = "steady")]
    pub scenario: String,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Arrivals over what the targets can serve; the scenario's own if absent.
    #[arg(long)]
    pub load: Option<f64>,
    /// Form of the output.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Form,
}

/// Options of `check`.
#[derive(Debug, clap::Args)]
pub struct CheckOptions {
    /// File with the bounds.
    #[arg(long, default_value = "kqr-bench/bounds.yaml")]
    pub bounds: PathBuf,
    /// File with the checks that fail for a known reason; a line `bound NAME: ...` names a bound.
    #[arg(long, default_value = "KNOWN-RED.txt")]
    pub known: PathBuf,
}
