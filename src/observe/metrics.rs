//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::sync::Arc;

use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::Snafu;

use super::counters::Counters;

const METER_NAME: &str = "bamboowind";
/// Bucket boundaries of the duration histograms, in milliseconds.
const DURATION_BOUNDS_MS: [f64; 14] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// The metrics exporter could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up the metrics exporter: {reason}"))]
pub struct MetricsError {
    reason: String,
}

/// Metric instruments of one process and the registry that exports them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    request_duration_ms: Histogram<f64>,
    queue_duration_ms: Histogram<f64>,
}

/// Labels of a finished request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels<'a> {
    /// Name of the priority class, or the address of the service for flows of [`crate::forward`].
    pub class: &'a str,
    /// Name of the caller's group in the policy, or a fixed name when no group applies.
    pub caller_group: &'a str,
    /// How the request ended, such as `request_answered`.
    pub outcome: &'static str,
}

impl Metrics {
    /// Creates the instruments and exports `counters` along with them.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError`] when the exporter cannot be built.
    pub fn new(counters: &Counters) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| MetricsError {
                reason: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        export_counters(&meter, counters.clone());
        Ok(Self {
            registry,
            request_duration_ms: duration_histogram(&meter, "bamboowind_request_duration_ms"),
            queue_duration_ms: duration_histogram(&meter, "bamboowind_queue_duration_ms"),
            provider,
        })
    }

    /// Records a finished request: its total duration, and the time in it spent waiting for a slot.
    ///
    /// The queue time has no `outcome` label.
    pub fn record_request(&self, labels: RequestLabels<'_>, total_ms: f64, queued_ms: f64) {
        let attributes = [
            KeyValue::new("class", labels.class.to_owned()),
            KeyValue::new("caller_group", labels.caller_group.to_owned()),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.request_duration_ms.record(total_ms, &attributes);
        self.queue_duration_ms.record(queued_ms, &attributes[..2]);
    }

    /// Exports a gauge whose value `read` returns each time the metrics are collected.
    pub fn export_gauge<F>(&self, name: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.provider.meter(METER_NAME);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Exports a gauge that is 1 for each of the label values that `read` returns each time the
    /// metrics are collected.
    pub fn export_set<F>(&self, name: &'static str, label: &'static str, read: F)
    where
        F: Fn() -> Vec<Arc<str>> + Send + Sync + 'static,
    {
        let meter = self.provider.meter(METER_NAME);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| {
                for value in read() {
                    observer.observe(1, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }

    /// Formats all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn duration_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(DURATION_BOUNDS_MS.to_vec())
        .build()
}

fn export_counters(meter: &Meter, counters: Counters) {
    meter
        .u64_observable_counter("bamboowind_events")
        .with_description("Events by name; docs/OPERATORS.md explains each")
        .with_callback(move |observer| {
            for (event, count) in counters.nonzero() {
                observer.observe(count, &[KeyValue::new("event", event.name())]);
            }
        })
        .build();
}
