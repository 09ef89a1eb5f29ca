use std::time::Duration;

use eyre::WrapErr;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{AnswerClass, GaugeMetric, RackPlace, TaskLength, WastedMessage, WorkKind};

/// Histogram bucket bounds for durations, in seconds.
const DURATION_BOUNDS_S: [f64; 15] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];
/// Histogram bucket bounds for ratios.
const RATIO_BOUNDS: [f64; 12] = [1.0, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0];

/// The metrics of one process. The number of time series does not depend on the input of callers.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    response: Histogram<f64>,
    over_ideal: Histogram<f64>,
    queue_wait: Histogram<f64>,
    expected_wait: Histogram<f64>,
    wait_error: Histogram<f64>,
    forward: Histogram<f64>,
    sync: Histogram<f64>,
    settings_delay: Histogram<f64>,
    answers: Counter<u64>,
    starts: Counter<u64>,
    rack_tasks: Counter<u64>,
    taken_back: Counter<u64>,
    wasted: Counter<u64>,
    sibling_bytes: Counter<u64>,
    link_bytes: Counter<u64>,
    suspicions: Counter<u64>,
    refused_reports: Counter<u64>,
    dropped_events: Gauge<u64>,
    gauges: Vec<Gauge<u64>>,
}

impl Metrics {
    /// Creates the metrics of a process.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .without_units()
            .build()
            .wrap_err("registering the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("kqr");
        let gauges = GaugeMetric::ALL.map(|metric| gauge(&meter, metric.name(), metric.description()));
        Ok(Self {
            registry,
            response: seconds(
                &meter,
                "kqr_response_seconds",
                "Response time from arrival to answer",
            ),
            over_ideal: histogram(
                &meter,
                "kqr_response_over_ideal",
                "Response time over the longest run time of the job's tasks",
                &RATIO_BOUNDS,
            ),
            queue_wait: seconds(&meter, "kqr_queue_wait_seconds", "Wait of a task for a slot"),
            expected_wait: seconds(
                &meter,
                "kqr_expected_wait_seconds",
                "Wait that was expected for a task when its job was admitted",
            ),
            wait_error: seconds(
                &meter,
                "kqr_wait_error_seconds",
                "Difference of the actual from the expected wait of a task",
            ),
            forward: seconds(&meter, "kqr_forward_seconds", "Round trip of a call to a sibling"),
            sync: seconds(&meter, "kqr_sync_seconds", "Time of a synced write"),
            settings_delay: seconds(
                &meter,
                "kqr_settings_delay_seconds",
                "Time from the acceptance of a change to its application here",
            ),
            answers: counter(&meter, "kqr_answers", "Answers and refusals to callers"),
            starts: counter(&meter, "kqr_task_starts", "Task starts sent to targets"),
            rack_tasks: counter(
                &meter,
                "kqr_rack_tasks",
                "Starts of tasks that name the rack of their data",
            ),
            taken_back: counter(
                &meter,
                "kqr_taken_back_orders",
                "Waiting orders taken back for an owner with free capacity",
            ),
            wasted: counter(
                &meter,
                "kqr_wasted_messages",
                "Messages beyond one start and one answer a task",
            ),
            sibling_bytes: counter(
                &meter,
                "kqr_sibling_bytes",
                "Bytes of membership and directory messages sent",
            ),
            link_bytes: counter(
                &meter,
                "kqr_link_bytes",
                "Estimated bytes sent and received by type of message",
            ),
            suspicions: counter(
                &meter,
                "kqr_suspicions",
                "Members that this instance suspected as leader of its cell",
            ),
            refused_reports: counter(
                &meter,
                "kqr_refused_reports",
                "Reports of targets that can't be decoded or are out of range",
            ),
            dropped_events: gauge(&meter, "kqr_dropped_events", "Time-line events that were dropped"),
            gauges: gauges.into(),
            provider,
        })
    }

    /// Records an answer or a refusal to a caller.
    pub fn record_answer(&self, kind: WorkKind, class: AnswerClass, response: Duration) {
        let kind = KeyValue::new("kind", kind.as_str());
        let class = KeyValue::new("class", class.as_str());
        self.response
            .record(response.as_secs_f64(), std::slice::from_ref(&kind));
        self.answers.add(1, &[kind, class]);
    }

    /// Records the response time of a complete job in relation to `ideal`, the longest run time of its tasks.
    pub fn record_over_ideal(&self, response: Duration, ideal: Duration) {
        if !ideal.is_zero() {
            self.over_ideal.record(response.div_duration_f64(ideal), &[]);
        }
    }

    /// Records that a task was started after it had waited for a slot for `wait`.
    pub fn record_task_start(&self, length: TaskLength, wait: Duration) {
        self.starts.add(1, &[]);
        let length = KeyValue::new("length", length.as_str());
        self.queue_wait.record(wait.as_secs_f64(), &[length]);
    }

    /// Counts the start of a task that names the rack of its data, and whether it waited for a target there.
    pub fn count_rack_task(&self, place: RackPlace, has_waited: bool) {
        let place = KeyValue::new("place", place.as_str());
        self.rack_tasks
            .add(1, &[place, KeyValue::new("waited", has_waited)]);
    }

    /// Counts a waiting order that was taken back from its owner.
    pub fn count_taken_back_order(&self) {
        self.taken_back.add(1, &[]);
    }

    /// Records the wait that was expected for a task, and by how much the actual one was longer or shorter. Tasks that neither
    /// waited nor were expected to are not recorded.
    pub fn record_expected_wait(&self, expected: Duration, actual: Duration) {
        if expected.is_zero() && actual.is_zero() {
            return;
        }
        let actual_is = if actual > expected { "longer" } else { "shorter" };
        self.expected_wait.record(expected.as_secs_f64(), &[]);
        self.wait_error.record(
            actual.abs_diff(expected).as_secs_f64(),
            &[KeyValue::new("actual", actual_is)],
        );
    }

    /// Counts a message in excess of the one start and one answer that a task needs.
    pub fn count_wasted_message(&self, message: WastedMessage) {
        self.wasted.add(1, &[KeyValue::new("message", message.as_str())]);
    }

    /// Records the round trip of a call to a sibling.
    pub fn record_sibling_call(&self, round_trip: Duration) {
        self.forward.record(round_trip.as_secs_f64(), &[]);
    }

    /// Adds to the bytes of membership and directory messages sent.
    pub fn count_sibling_bytes(&self, bytes: u64) {
        self.sibling_bytes.add(bytes, &[]);
    }

    /// Adds to the bytes that messages of type `message` have sent and received.
    pub fn count_link_bytes(&self, message: &'static str, sent: u64, received: u64) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            if bytes > 0 {
                let labels = [
                    KeyValue::new("direction", direction),
                    KeyValue::new("message", message),
                ];
                self.link_bytes.add(bytes, &labels);
            }
        }
    }

    /// Counts a newly suspected member.
    pub fn count_suspicion(&self) {
        self.suspicions.add(1, &[]);
    }

    /// Counts a report of a target that can't be decoded or is out of range.
    pub fn count_refused_report(&self) {
        self.refused_reports.add(1, &[]);
    }

    /// Records the duration of a synced write.
    pub fn record_sync(&self, time: Duration) {
        self.sync.record(time.as_secs_f64(), &[]);
    }

    /// Records the delay between the acceptance of a settings change and its application on this instance.
    pub fn record_settings_delay(&self, delay: Duration) {
        self.settings_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Sets a gauge to its current value.
    pub fn set_gauge(&self, metric: GaugeMetric, value: u64) {
        if let Some(gauge) = self.gauges.get(metric as usize) {
            gauge.record(value, &[]);
        }
    }

    /// Sets the number of dropped timeline events.
    pub fn set_dropped_events(&self, dropped: u64) {
        self.dropped_events.record(dropped, &[]);
    }

    /// Encodes all metrics in the text format of `GET /metrics`.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn encode_text(&self) -> eyre::Result<String> {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.wrap_err("encoding the metrics")
    }

    /// Shuts down the metrics provider.
    ///
    /// # Errors
    ///
    /// Fails if the provider can't be shut down.
    pub fn shutdown(self) -> eyre::Result<()> {
        self.provider.shutdown().wrap_err("shutting down the metrics")
    }
}

/// Creates a histogram of durations.
fn seconds(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    histogram(meter, name, description, &DURATION_BOUNDS_S)
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str, bounds: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(bounds.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
