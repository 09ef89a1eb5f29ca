//! Log lines of the dispatcher's decisions.

use kqr_dispatch::{Decision, JobEnd};
use kqr_telemetry::decision;

/// Writes a decision to the log.
pub(super) fn log(note: &Decision) {
    match note {
        Decision::JobAdmitted {
            job,
            tasks,
            wait_ms,
            time_left_ms,
        } => decision(
            "job-admitted",
            &[
                ("job", job.to_string()),
                ("tasks", tasks.to_string()),
                ("expected_wait_ms", wait_ms.to_string()),
                ("time_left_ms", time_left_ms.to_string()),
            ],
        ),
        Decision::JobEnded {
            job,
            end,
            after_ms,
            orders,
        } => decision(
            "job-ended",
            &[
                ("job", job.to_string()),
                ("end", end_text(end)),
                ("after_ms", after_ms.to_string()),
                ("orders", orders.to_string()),
            ],
        ),
        Decision::JobAbandoned { job, after_ms } => decision(
            "job-abandoned",
            &[("job", job.to_string()), ("after_ms", after_ms.to_string())],
        ),
        _ => log_run(note),
    }
}

/// Writes what became of an order or a run to the log.
fn log_run(note: &Decision) {
    match note {
        Decision::TaskOrdered {
            run,
            owner,
            preferred_target,
        } => decision(
            "task-ordered",
            &[
                ("run", run.to_string()),
                ("owner", owner.to_string()),
                ("target", text_of(preferred_target.as_ref())),
            ],
        ),
        Decision::OrderEnded { run, end, target } => decision(
            "order-ended",
            &[
                ("run", run.to_string()),
                ("end", format!("{end:?}")),
                ("target", text_of(target.as_ref())),
            ],
        ),
        Decision::RunStarted {
            run,
            target,
            waited_ms,
            estimate_ms,
            slowness_milli,
        } => decision(
            "run-started",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("waited_ms", waited_ms.to_string()),
                ("estimate_ms", estimate_ms.to_string()),
                ("slowness_milli", slowness_milli.to_string()),
            ],
        ),
        Decision::RunEnded {
            run,
            target,
            kind,
            after_ms,
        } => decision(
            "run-ended",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("how", format!("{kind:?}")),
                ("after_ms", after_ms.to_string()),
            ],
        ),
        Decision::RunCleared { run, target, proof } => decision(
            "run-cleared",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("proof", (*proof).to_owned()),
            ],
        ),
        Decision::RunStopped {
            run,
            target,
            cause,
            percent,
        } => decision(
            "run-stopped",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("cause", (*cause).to_owned()),
                ("percent", percent.to_string()),
            ],
        ),
        Decision::OrderRefused { run, cause } => decision(
            "order-refused",
            &[("run", run.to_string()), ("cause", format!("{cause:?}"))],
        ),
        _ => log_belief(note),
    }
}

/// Writes a change of a belief to the log.
fn log_belief(note: &Decision) {
    match note {
        Decision::TargetChanged { target, state, cause } => decision(
            "target-changed",
            &[
                ("target", target.to_string()),
                ("belief", (*state).to_owned()),
                ("input", cause.clone()),
            ],
        ),
        Decision::SiblingChanged { sibling, state } => decision(
            "sibling-changed",
            &[("sibling", sibling.to_string()), ("belief", (*state).to_owned())],
        ),
        other => log::error!("a decision without a log line: {other:?}"),
    }
}

fn end_text(end: &JobEnd) -> String {
    match end {
        JobEnd::Completed => "completed".to_owned(),
        JobEnd::Failed => "failed".to_owned(),
        JobEnd::Refused { cause, .. } => format!("refused: {cause}"),
        JobEnd::GivenUp(cause) => format!("given up: {}", cause.as_str()),
    }
}

fn text_of<Value>(value: Option<&Value>) -> String
where
    Value: ToString,
{
    value.map_or_else(String::new, ToString::to_string)
}
