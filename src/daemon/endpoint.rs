//! The endpoints and the statistics of their responses that `/admin/status` shows.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

/// Largest recorded latency, in microseconds (60 s). Longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of significant decimal digits of recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;

/// The purpose of a request, by which responses are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    /// Status and settings for operators.
    Admin,
    /// Cancellation of a job.
    Cancel,
    /// Requests that no endpoint serves.
    Other,
    /// Query of a job.
    Poll,
    /// Readiness check of the load balancer.
    Ready,
    /// Heartbeat of a worker.
    Heartbeat,
    /// Submission of a job.
    Submit,
}

impl Endpoint {
    /// Returns the endpoint's name in `/admin/status`.
    fn name(self) -> &'static str {
        match self {
            Self::Admin => "admin",
            Self::Cancel => "cancel",
            Self::Other => "other",
            Self::Poll => "poll",
            Self::Ready => "ready",
            Self::Heartbeat => "report",
            Self::Submit => "submit",
        }
    }
}

/// Counts of responses by endpoint and status, and latencies by endpoint.
#[derive(Default)]
pub(super) struct ResponseStats {
    counts: RefCell<BTreeMap<(Endpoint, u16), u64>>,
    latencies: RefCell<BTreeMap<Endpoint, Histogram<u32>>>,
}

impl ResponseStats {
    /// Counts a response with this status to a request that was received at `received`.
    pub(super) fn record(&self, endpoint: Endpoint, status: u16, received: Instant) {
        *self
            .counts
            .borrow_mut()
            .entry((endpoint, status))
            .or_default() += 1;
        let mut latencies = self.latencies.borrow_mut();
        if !latencies.contains_key(&endpoint)
            && let Ok(histogram) =
                Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
        {
            latencies.insert(endpoint, histogram);
        }
        if let Some(histogram) = latencies.get_mut(&endpoint) {
            histogram.saturating_record(received.elapsed().as_micros() as u64);
        }
    }

    /// Returns the statistics of each endpoint that has responded at least once, by the endpoint's
    /// name.
    pub(super) fn report(&self) -> BTreeMap<&'static str, EndpointReport> {
        let latencies = self.latencies.borrow();
        latencies
            .iter()
            .map(|(endpoint, histogram)| {
                let report = EndpointReport {
                    counts: self.counts_by_status(*endpoint),
                    latencies_ms: LatencyReport::new(histogram),
                };
                (endpoint.name(), report)
            })
            .collect()
    }

    fn counts_by_status(&self, endpoint: Endpoint) -> BTreeMap<u16, u64> {
        let counts = self.counts.borrow();
        counts
            .iter()
            .filter(|((counted, _), _)| *counted == endpoint)
            .map(|((_, status), count)| (*status, *count))
            .collect()
    }
}

/// Statistics of an endpoint's responses since the process started, as `/admin/status` shows them.
#[derive(Serialize)]
pub(super) struct EndpointReport {
    /// Number of responses by HTTP status.
    #[serde(rename = "answers")]
    counts: BTreeMap<u16, u64>,
    #[serde(rename = "ms")]
    latencies_ms: LatencyReport,
}

/// Quantiles of latencies, in milliseconds.
#[derive(Serialize)]
struct LatencyReport {
    p50: f64,
    p90: f64,
    p99: f64,
    max: f64,
}

impl LatencyReport {
    fn new(histogram: &Histogram<u32>) -> Self {
        let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: ms(0.5),
            p90: ms(0.9),
            p99: ms(0.99),
            max: ms(1.0),
        }
    }
}
