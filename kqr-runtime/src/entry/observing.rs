//! Metrics of the dispatcher's decisions.

use std::time::Duration;

use kqr_dispatch::{JobEnd, NotRun, Note, RunEnd};
use kqr_telemetry::{AnswerClass, GaugeMetric, Metrics, TaskLength, WastedMessage, WorkKind};

/// Counts a decision.
pub(super) fn observe(metrics: &Metrics, note: &Note) {
    match note {
        Note::JobEnded { end, after_ms, .. } => {
            metrics.record_answer(WorkKind::Job, class_of(end), Duration::from_millis(*after_ms));
        }
        Note::RunStarted { waited_ms, .. } => {
            metrics.record_task_start(TaskLength::Short, Duration::from_millis(*waited_ms));
        }
        Note::OrderEnded {
            end: RunEnd::NotRun(NotRun::Refused | NotRun::Superseded),
            ..
        } => metrics.count_wasted_message(WastedMessage::Refusal),
        Note::SiblingChanged { belief: "lost", .. } => metrics.count_suspicion(),
        _ => {}
    }
}

/// Sets the levels of an entry.
pub(super) fn set_levels(metrics: &Metrics, jobs: usize, waiting: usize, targets: usize, version: u64) {
    metrics.set_gauge(GaugeMetric::LiveJobs, jobs as u64);
    metrics.set_gauge(GaugeMetric::WaitingTasks, waiting as u64);
    metrics.set_gauge(GaugeMetric::PresentTargets, targets as u64);
    metrics.set_gauge(GaugeMetric::SettingsVersion, version);
    metrics.set_dropped_events(kqr_telemetry::dropped_log_lines());
}

const fn class_of(end: &JobEnd) -> AnswerClass {
    match end {
        JobEnd::Completed => AnswerClass::InTime,
        JobEnd::Failed => AnswerClass::Ran,
        JobEnd::Refused { .. } => AnswerClass::NotRun,
        JobEnd::GivenUp(_) => AnswerClass::MayHaveRun,
    }
}
