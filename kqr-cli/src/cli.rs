use std::time::Duration;

use clap::{CommandFactory, Parser, Subcommand};

use crate::{
    Connection, ConnectionOptions, Entries, Failure,
    commands::{drain, jobs, quota, settings, status, targets, voters},
    output::{Format, render},
};

/// Operates a system of kumquatroad.
///
/// Exit codes: 0 done, 1 other failure, 2 wrong usage, 3 beaten by another change, 4 path or value not allowed,
/// 5 version not retained or unknown, 6 no quorum or entry answers now, 7 token missing or wrong, 8 no control instance or
/// entry reachable, 9 no job with the key is known.
#[derive(Debug, Parser)]
#[command(name = "kqr", version)]
pub struct Cli {
    /// Where and how the control instances are called.
    #[command(flatten)]
    pub connection: ConnectionOptions,
    /// What is asked for.
    #[command(subcommand)]
    pub operation: Operation,
}

/// An operation.
#[derive(Debug, Subcommand)]
pub enum Operation {
    /// Reads and changes the settings.
    #[command(subcommand)]
    Settings(Settings),
    /// Lists the targets that the settings name, or renames one.
    Targets(targets::Options),
    /// Stops or resumes sending new work to a target, service, data centre or region.
    Drain(drain::Options),
    /// Reads and changes the quotas of teams.
    #[command(subcommand)]
    Quota(Quota),
    /// Shows or cancels a job at an entry; no token is needed.
    #[command(subcommand)]
    Jobs(Jobs),
    /// Shows the state of the control instances.
    Status(status::Options),
    /// Adds, promotes or removes one voter of the settings log.
    Voters(voters::Options),
    /// Prints the completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// An operation on the settings.
#[derive(Debug, Subcommand)]
pub enum Settings {
    /// Prints the settings at and below a path.
    Get(settings::get::Options),
    /// Sets or removes single values.
    Set(settings::set::Options),
    /// Replaces the whole tree by the content of a file.
    Apply(settings::apply::Options),
    /// Shows the difference between two versions, or between a version and a file.
    Diff(settings::diff::Options),
    /// Lists accepted changes.
    History(settings::history::Options),
    /// Tells for each value of a node where it comes from.
    Explain(settings::explain::Options),
    /// Makes a new version with the content of an older one.
    Rollback(settings::rollback::Options),
}

/// An operation on the quotas of teams.
#[derive(Debug, Subcommand)]
pub enum Quota {
    /// Prints the quota of one team and where it comes from.
    Get(quota::get::Options),
    /// Sets or removes the quota of one team.
    Set(quota::set::Options),
    /// Lists the quotas of all teams that the settings name.
    List(quota::list::Options),
}

/// An operation on a job.
#[derive(Debug, Subcommand)]
pub enum Jobs {
    /// Shows the state of a job.
    Show(jobs::Options),
    /// Cancels a job that has not ended.
    Cancel(jobs::Options),
}

/// Runs the operation and returns its output.
///
/// # Errors
///
/// Fails if the operation does.
pub async fn run(cli: Cli) -> Result<String, Failure> {
    if let Operation::Completions { shell } = cli.operation {
        let mut text = Vec::new();
        clap_complete::generate(shell, &mut Cli::command(), "kqr", &mut text);
        return Ok(String::from_utf8_lossy(&text).into_owned());
    }
    let format = cli.connection.output;
    if let Operation::Jobs(operation) = cli.operation {
        return run_jobs(Duration::from_secs(cli.connection.timeout), operation, format).await;
    }
    let connection = Connection::new(&cli.connection)?;
    match cli.operation {
        Operation::Settings(operation) => run_settings(&connection, operation, format).await,
        Operation::Targets(options) => render(&targets::run(&connection, &options).await?, format),
        Operation::Drain(options) => render(&drain::run(&connection, &options).await?, format),
        Operation::Quota(operation) => run_quota(&connection, operation, format).await,
        Operation::Status(options) => render(&status::run(&connection, &options).await?, format),
        Operation::Voters(options) => render(&voters::run(&connection, &options).await?, format),
        Operation::Jobs(_) | Operation::Completions { .. } => Ok(String::new()),
    }
}

async fn run_settings(
    connection: &Connection,
    operation: Settings,
    format: Format,
) -> Result<String, Failure> {
    match operation {
        Settings::Get(options) => render(&settings::get::run(connection, &options).await?, format),
        Settings::Set(options) => render(&settings::set::run(connection, &options).await?, format),
        Settings::Apply(options) => render(&settings::apply::run(connection, &options).await?, format),
        Settings::Diff(options) => render(&settings::diff::run(connection, &options).await?, format),
        Settings::History(options) => render(&settings::history::run(connection, &options).await?, format),
        Settings::Explain(options) => render(&settings::explain::run(connection, &options).await?, format),
        Settings::Rollback(options) => render(&settings::rollback::run(connection, &options).await?, format),
    }
}

async fn run_quota(connection: &Connection, operation: Quota, format: Format) -> Result<String, Failure> {
    match operation {
        Quota::Get(options) => render(&quota::get::run(connection, &options).await?, format),
        Quota::Set(options) => render(&quota::set::run(connection, &options).await?, format),
        Quota::List(options) => render(&quota::list::run(connection, &options).await?, format),
    }
}

async fn run_jobs(timeout: Duration, operation: Jobs, format: Format) -> Result<String, Failure> {
    match operation {
        Jobs::Show(options) => {
            let entries = Entries::new(&options.entries, timeout);
            render(&jobs::show::run(&entries, &options).await?, format)
        }
        Jobs::Cancel(options) => {
            let entries = Entries::new(&options.entries, timeout);
            render(&jobs::cancel::run(&entries, &options).await?, format)
        }
    }
}
