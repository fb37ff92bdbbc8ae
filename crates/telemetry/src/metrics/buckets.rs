use prometheus_client::metrics::histogram::Histogram;

/// Upper bounds of latency buckets, in seconds, which include the limits of 59 ms and 1.2 s.
const LATENCY_BUCKETS_S: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.059, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0, 10.0, 30.0, 60.0];

pub(crate) fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}
