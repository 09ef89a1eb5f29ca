use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand};
use eyre::{OptionExt, WrapErr};
use kqr_types::{Rate, ServiceName};

use crate::{Experiment, JobMix, Phase, Resubmit, TimeText};

/// Parts of the run before and in the surge.
const BEFORE_SURGE: f64 = 0.4;
const IN_SURGE: f64 = 0.2;

/// Open-loop load and experiment tool.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-load", version, args_conflicts_with_subcommands = true)]
pub struct Options {
    /// What to do instead of running a load.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Experiment file. Without one, the flags below make up an experiment with a surge.
    #[arg(long)]
    pub experiment: Option<PathBuf>,
    /// Callers' listeners of entries, in place of those of the experiment.
    #[arg(long = "entry")]
    pub entries: Vec<SocketAddr>,
    /// Listeners of stand-ins, whose starts are checked at the end.
    #[arg(long = "standin")]
    pub standins: Vec<SocketAddr>,
    /// Service that runs the tasks.
    #[arg(long, required_unless_present = "experiment")]
    pub service: Option<ServiceName>,
    /// Jobs a second outside the surge.
    #[arg(long, default_value_t = 20.0)]
    pub jobs_per_second: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Jobs a second in the surge, as a multiple of those outside.
    #[arg(long, default_value_t = 3.0)]
    pub surge: f64,
    /// Most tasks of a job.
    #[arg(long, default_value_t = 8)]
    pub max_tasks: u16,
    /// Shortest run time of a task, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub min_run_ms: u64,
    /// Longest run time of a task, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub max_run_ms: u64,
    /// Deadline of each job, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
    /// Seed of the random numbers, in place of that of the experiment.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Text before each key, to tell runs apart.
    #[arg(long)]
    pub key_prefix: Option<String>,
    /// File for the report as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File for the report as a self-contained page with plots.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// What to do instead of running a load.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Compares two reports in JSON.
    Compare {
        /// Report to compare with.
        before: PathBuf,
        /// Report that is compared.
        after: PathBuf,
    },
}

impl Options {
    /// Returns the experiment of the file or of the flags.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a value is out of range.
    pub fn to_experiment(&self) -> eyre::Result<Experiment> {
        let mut experiment = match &self.experiment {
            Some(path) => Experiment::read(path)?,
            None => self.surge_experiment()?,
        };
        if !self.entries.is_empty() {
            experiment.entries.clone_from(&self.entries);
        }
        if !self.standins.is_empty() {
            experiment.standins.clone_from(&self.standins);
        }
        experiment.seed = self.seed.unwrap_or(experiment.seed);
        if let Some(prefix) = &self.key_prefix {
            experiment.key_prefix.clone_from(prefix);
        }
        Ok(experiment)
    }

    fn surge_experiment(&self) -> eyre::Result<Experiment> {
        let phase = |name: &str, part: f64, factor: f64| -> eyre::Result<Phase> {
            let length = Duration::try_from_secs_f64(self.seconds * part).wrap_err("--seconds")?;
            Ok(Phase {
                name: name.to_owned(),
                length: TimeText(length),
                jobs: Rate(self.jobs_per_second * factor),
                requests: Rate(0.0),
            })
        };
        let millis = |millis| TimeText(Duration::from_millis(millis));
        Ok(Experiment {
            name: "surge".to_owned(),
            seed: 1,
            key_prefix: "load".to_owned(),
            entries: Vec::new(),
            standins: Vec::new(),
            phases: vec![
                phase("before", BEFORE_SURGE, 1.0)?,
                phase("surge", IN_SURGE, self.surge)?,
                phase("after", 1.0 - BEFORE_SURGE - IN_SURGE, 1.0)?,
            ],
            jobs: vec![JobMix {
                weight: 1,
                service: self.service.clone().ok_or_eyre("--service is needed")?,
                class: "proof".parse()?,
                tasks: [1, self.max_tasks],
                run: [millis(self.min_run_ms), millis(self.max_run_ms)],
                declared: 1.0,
                deadline: millis(self.deadline_ms),
            }],
            requests: Vec::new(),
            cancels: Vec::new(),
            resubmit: Resubmit::default(),
        })
    }
}
