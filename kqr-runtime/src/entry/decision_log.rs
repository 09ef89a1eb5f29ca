//! Event log of the dispatcher's decisions.

use kqr_dispatch::{DataPlace, Decision, JobEnd, LinkUsage, Traffic};
use kqr_telemetry::log_decision as write_event;

/// Writes a decision to the event log.
pub(super) fn write(decision: &Decision) {
    match decision {
        Decision::JobOversized { job, part } => write_event(
            "job-oversized",
            &[("job", job.to_string()), ("part", part.to_string())],
        ),
        Decision::JobAdmitted {
            job,
            tasks,
            wait_ms,
            time_left_ms,
        } => write_event(
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
        } => write_event(
            "job-ended",
            &[
                ("job", job.to_string()),
                ("end", describe_end(end)),
                ("after_ms", after_ms.to_string()),
                ("orders", orders.to_string()),
            ],
        ),
        Decision::JobAbandoned { job, after_ms } => write_event(
            "job-abandoned",
            &[("job", job.to_string()), ("after_ms", after_ms.to_string())],
        ),
        _ => write_run(decision),
    }
}

/// Writes a decision about an order or a run.
fn write_run(decision: &Decision) {
    match decision {
        Decision::TaskOrdered {
            run,
            owner,
            preferred_target,
        } => write_event(
            "task-ordered",
            &[
                ("run", run.to_string()),
                ("owner", owner.to_string()),
                ("target", text_or_empty(preferred_target.as_ref())),
            ],
        ),
        Decision::OrderTakenBack {
            run,
            owner,
            free_owner,
            waited_ms,
            expected_wait_ms,
        } => write_event(
            "order-taken-back",
            &[
                ("run", run.to_string()),
                ("owner", owner.to_string()),
                ("free_owner", free_owner.to_string()),
                ("waited_ms", waited_ms.to_string()),
                ("expected_wait_ms", expected_wait_ms.to_string()),
            ],
        ),
        Decision::OrderEnded { run, end, target } => write_event(
            "order-ended",
            &[
                ("run", run.to_string()),
                ("end", format!("{end:?}")),
                ("target", text_or_empty(target.as_ref())),
            ],
        ),
        Decision::RunStarted {
            run,
            target,
            waited_ms,
            expected_wait_ms,
            estimate_ms,
            slowness_milli,
            data_place,
        } => write_event(
            "run-started",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("waited_ms", waited_ms.to_string()),
                ("expected_wait_ms", expected_wait_ms.to_string()),
                ("estimate_ms", estimate_ms.to_string()),
                ("slowness_milli", slowness_milli.to_string()),
                ("data_place", describe_place(*data_place).to_owned()),
            ],
        ),
        Decision::RunEnded {
            run,
            target,
            kind,
            after_ms,
        } => write_event(
            "run-ended",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("how", format!("{kind:?}")),
                ("after_ms", after_ms.to_string()),
            ],
        ),
        Decision::RunCleared { run, target, proof } => write_event(
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
        } => write_event(
            "run-stopped",
            &[
                ("run", run.to_string()),
                ("target", target.to_string()),
                ("cause", (*cause).to_owned()),
                ("percent", percent.to_string()),
            ],
        ),
        Decision::OrderRefused { run, cause } => write_event(
            "order-refused",
            &[("run", run.to_string()), ("cause", format!("{cause:?}"))],
        ),
        _ => write_state_change(decision),
    }
}

const fn describe_place(place: DataPlace) -> &'static str {
    match place {
        DataPlace::NoRack => "",
        DataPlace::OnRack { has_waited: false } => "on-rack",
        DataPlace::OnRack { has_waited: true } => "on-rack-after-wait",
        DataPlace::Elsewhere { has_waited: false } => "elsewhere",
        DataPlace::Elsewhere { has_waited: true } => "elsewhere-after-wait",
    }
}

/// Writes a change in the observed state of a target or a sibling.
fn write_state_change(decision: &Decision) {
    match decision {
        Decision::TargetChanged { target, state, cause } => write_event(
            "target-changed",
            &[
                ("target", target.to_string()),
                ("belief", (*state).to_owned()),
                ("input", cause.clone()),
            ],
        ),
        Decision::SiblingChanged { sibling, state } => write_event(
            "sibling-changed",
            &[("sibling", sibling.to_string()), ("belief", (*state).to_owned())],
        ),
        Decision::LinkUsed { usage, period_ms } => write_event(
            "link-usage",
            &[
                ("period_ms", period_ms.to_string()),
                ("sent_bytes", usage.total_sent().to_string()),
                ("received_bytes", usage.total_received().to_string()),
                ("sent", describe_usage(usage, LinkUsage::sent)),
                ("received", describe_usage(usage, LinkUsage::received)),
            ],
        ),
        other => log::error!("decision has no event format: {other:?}"),
    }
}

fn describe_end(end: &JobEnd) -> String {
    match end {
        JobEnd::Completed => "completed".to_owned(),
        JobEnd::Failed => "failed".to_owned(),
        JobEnd::Refused { cause, .. } => format!("refused: {cause}"),
        JobEnd::GivenUp(cause) => format!("given up: {}", cause.as_str()),
    }
}

/// Returns the types of messages with bytes, as `orders=1200 polls=350`.
fn describe_usage(usage: &LinkUsage, bytes: fn(&LinkUsage, Traffic) -> u64) -> String {
    let mut texts = Vec::new();
    for traffic in Traffic::ALL {
        let bytes = bytes(usage, traffic);
        if bytes > 0 {
            texts.push(format!("{traffic}={bytes}"));
        }
    }
    texts.join(" ")
}

fn text_or_empty<Value>(value: Option<&Value>) -> String
where
    Value: ToString,
{
    value.map_or_else(String::new, ToString::to_string)
}
