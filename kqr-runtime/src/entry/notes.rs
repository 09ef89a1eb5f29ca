//! Log lines of the dispatcher's decisions.

use kqr_dispatch::{JobEnd, Note};
use kqr_telemetry::log_decision;

/// Writes a decision to the log.
pub(super) fn log(note: &Note) {
    match note {
        Note::JobAdmitted {
            job,
            tasks,
            wait_ms,
            time_left_ms,
        } => log_decision(
            "job-admitted",
            &[
                ("job", job.to_string()),
                ("tasks", tasks.to_string()),
                ("expected_wait_ms", wait_ms.to_string()),
                ("time_left_ms", time_left_ms.to_string()),
            ],
        ),
        Note::JobEnded {
            job,
            end,
            after_ms,
            orders,
        } => log_decision(
            "job-ended",
            &[
                ("job", job.to_string()),
                ("end", end_text(end)),
                ("after_ms", after_ms.to_string()),
                ("orders", orders.to_string()),
            ],
        ),
        Note::JobAbandoned { job, after_ms } => log_decision(
            "job-abandoned",
            &[("job", job.to_string()), ("after_ms", after_ms.to_string())],
        ),
        _ => log_run(note),
    }
}

/// Writes what became of an order or a run to the log.
fn log_run(note: &Note) {
    match note {
        Note::TaskOrdered {
            run,
            owner,
            preferred,
        } => log_decision(
            "task-ordered",
            &[
                ("run", run.to_string()),
                ("owner", owner.to_string()),
                ("target", text_of(preferred.as_ref())),
            ],
        ),
        Note::OrderEnded { run, end, target } => log_decision(
            "order-ended",
            &[
                ("run", run.to_string()),
                ("end", format!("{end:?}")),
                ("target", text_of(target.as_ref())),
            ],
        ),
        Note::RunStarted {
            run,
            target,
            waited_ms,
            estimate_ms,
            slowness_milli,
        } => log_decision(
            "run-started",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("waited_ms", waited_ms.to_string()),
                ("estimate_ms", estimate_ms.to_string()),
                ("slowness_milli", slowness_milli.to_string()),
            ],
        ),
        Note::RunEnded {
            run,
            target,
            how,
            after_ms,
        } => log_decision(
            "run-ended",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("how", format!("{how:?}")),
                ("after_ms", after_ms.to_string()),
            ],
        ),
        Note::RunCleared { run, target, proof } => log_decision(
            "run-cleared",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("proof", (*proof).to_owned()),
            ],
        ),
        Note::RunStopped {
            run,
            target,
            cause,
            percent,
        } => log_decision(
            "run-stopped",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("cause", (*cause).to_owned()),
                ("percent", percent.to_string()),
            ],
        ),
        Note::OrderRefused { run, cause } => log_decision(
            "order-refused",
            &[("run", run.to_string()), ("cause", format!("{cause:?}"))],
        ),
        _ => log_belief(note),
    }
}

/// Writes a change of a belief to the log.
fn log_belief(note: &Note) {
    match note {
        Note::TargetChanged {
            target,
            belief,
            input,
        } => log_decision(
            "target-changed",
            &[
                ("target", target.to_string()),
                ("belief", (*belief).to_owned()),
                ("input", input.clone()),
            ],
        ),
        Note::SiblingChanged { sibling, belief } => log_decision(
            "sibling-changed",
            &[("sibling", sibling.to_string()), ("belief", (*belief).to_owned())],
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
