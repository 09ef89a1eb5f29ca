//! Metrics of the dispatcher's decisions.

use std::time::Duration;

use kqr_dispatch::{DataPlace, Decision, JobEnd, NotRun, RunEnd, Traffic};
use kqr_fleet::CatalogVersion;
use kqr_telemetry::{AnswerClass, GaugeMetric, Metrics, RackPlace, TaskLength, WastedMessage, WorkKind};

/// Updates the counters for a decision.
pub(super) fn count(metrics: &Metrics, decision: &Decision) {
    match decision {
        Decision::JobEnded { end, after_ms, .. } => {
            metrics.record_answer(WorkKind::Job, answer_class(end), Duration::from_millis(*after_ms));
        }
        Decision::RunStarted {
            waited_ms,
            expected_wait_ms,
            data_place,
            ..
        } => {
            let waited = Duration::from_millis(*waited_ms);
            metrics.record_task_start(TaskLength::Short, waited);
            metrics.record_expected_wait(Duration::from_millis(*expected_wait_ms), waited);
            count_rack_task(metrics, *data_place);
        }
        Decision::OrderEnded {
            end: RunEnd::NotRun(NotRun::Refused | NotRun::Superseded),
            ..
        } => metrics.count_wasted_message(WastedMessage::Refusal),
        Decision::OrderTakenBack { .. } => metrics.count_taken_back_order(),
        Decision::SiblingChanged { state: "lost", .. } => metrics.count_suspicion(),
        Decision::LinkUsed { usage, .. } => {
            for traffic in Traffic::ALL {
                metrics.count_link_bytes(traffic.as_str(), usage.sent(traffic), usage.received(traffic));
            }
        }
        _ => {}
    }
}

fn count_rack_task(metrics: &Metrics, place: DataPlace) {
    match place {
        DataPlace::NoRack => {}
        DataPlace::OnRack { has_waited } => metrics.count_rack_task(RackPlace::OnRack, has_waited),
        DataPlace::Elsewhere { has_waited } => metrics.count_rack_task(RackPlace::Elsewhere, has_waited),
    }
}

/// Sets the gauges of an entry.
pub(super) fn set_gauges(
    metrics: &Metrics,
    jobs: usize,
    waiting_orders: usize,
    targets: usize,
    version: Option<CatalogVersion>,
) {
    metrics.set_gauge(GaugeMetric::LiveJobs, jobs as u64);
    metrics.set_gauge(GaugeMetric::WaitingTasks, waiting_orders as u64);
    metrics.set_gauge(GaugeMetric::PresentTargets, targets as u64);
    if let Some(version) = version {
        metrics.set_gauge(GaugeMetric::SettingsVersion, version.0);
    }
    metrics.set_dropped_events(kqr_telemetry::dropped_log_lines());
}

const fn answer_class(end: &JobEnd) -> AnswerClass {
    match end {
        JobEnd::Completed => AnswerClass::InTime,
        JobEnd::Failed => AnswerClass::Ran,
        JobEnd::Refused { .. } => AnswerClass::NotRun,
        JobEnd::GivenUp(_) => AnswerClass::MayHaveRun,
    }
}
