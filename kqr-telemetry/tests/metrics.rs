//! The text format of the metrics.

use std::{fs, time::Duration};

use kqr_telemetry::{AnswerClass, GaugeMetric, Metrics, TaskLength, WastedMessage, WorkKind};

fn recorded_metrics() -> Metrics {
    let metrics = Metrics::new().unwrap();
    metrics.record_answer(WorkKind::Job, AnswerClass::InTime, Duration::from_millis(120));
    metrics.record_answer(WorkKind::Request, AnswerClass::NotRun, Duration::from_millis(1));
    metrics.record_over_ideal(Duration::from_millis(120), Duration::from_millis(100));
    metrics.record_task_start(TaskLength::Short, Duration::from_millis(3));
    metrics.count_wasted_message(WastedMessage::Forward);
    metrics.record_sibling_call(Duration::from_millis(1));
    metrics.count_sibling_bytes(400);
    metrics.record_sync(Duration::from_millis(4));
    metrics.record_settings_delay(Duration::from_millis(300));
    metrics.set_dropped_events(0);
    for (number, metric) in GaugeMetric::ALL.into_iter().enumerate() {
        metrics.set_gauge(metric, 100 + number as u64);
    }
    metrics
}

#[test]
fn recorded_values_are_encoded() {
    let text = recorded_metrics().encode_text().unwrap();
    let has = |parts: &[&str]| {
        text.lines()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    };
    assert!(
        has(&["kqr_answers_total{", "class=\"in-time\"", "kind=\"job\"", "} 1"]),
        "{text}"
    );
    assert!(
        has(&["kqr_response_over_ideal_bucket{", "le=\"1.2\"", "} 1"]),
        "{text}"
    );
    assert!(
        has(&["kqr_response_over_ideal_bucket{", "le=\"1.1\"", "} 0"]),
        "{text}"
    );
    assert!(
        has(&["kqr_wasted_messages_total{", "message=\"forward\"", "} 1"]),
        "{text}"
    );
    for (number, metric) in GaugeMetric::ALL.into_iter().enumerate() {
        assert!(
            has(&[&format!("{}{{", metric.name()), &format!("}} {}", 100 + number)]),
            "{metric:?} in {text}"
        );
    }
}

#[test]
fn operators_page_lists_each_metric() {
    let page = fs::read_to_string("../docs/operators/metrics.md").unwrap();
    let text = recorded_metrics().encode_text().unwrap();
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("# TYPE ") else {
            continue;
        };
        let name = rest.split(' ').next().unwrap();
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is missing in docs/operators/metrics.md"
        );
    }
}
