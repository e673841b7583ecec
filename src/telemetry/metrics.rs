//! Metrics of the process, recorded through `opentelemetry` and rendered in the Prometheus text
//! format.

use std::sync::OnceLock;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets of the waiting time; 3 s is the target for urgent work.
const WAIT_BOUNDARIES_SECONDS: [f64; 14] = [
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 6.0, 10.0, 30.0, 120.0,
];

/// Metric instruments of the whole process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Creates the instruments of other modules.
    pub meter: Meter,
    /// Number of finished requests, by `verdict` and `code`.
    pub requests: Counter<u64>,
    /// Time from admission to the start of execution, in seconds.
    pub request_wait_seconds: Histogram<f64>,
    /// Number of control bytes sent, by `kind` and `scope` (`local`, `data_centre`, `region`).
    pub control_bytes: Counter<u64>,
}

/// Returns the metrics of this process, which the first call creates.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}

impl Metrics {
    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jujubewinch");
        Self {
            requests: meter.u64_counter("jujubewinch_requests").build(),
            request_wait_seconds: meter
                .f64_histogram("jujubewinch_request_wait_seconds")
                .with_boundaries(WAIT_BOUNDARIES_SECONDS.to_vec())
                .build(),
            control_bytes: meter.u64_counter("jujubewinch_control_bytes").build(),
            registry,
            _provider: provider,
            meter,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# cannot encode the metrics: {error}\n"),
        }
    }
}
