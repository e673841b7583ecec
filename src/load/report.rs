//! Result of a run as a table, as JSON and as an HTML page with plots.

use std::fmt::Write;
use std::path::Path;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::check::Findings;
use super::experiment::Experiment;
use super::plots;
use super::run::{Attempt, Recording};
use crate::verdict::Verdict;

/// Upper bound of the histograms, one hour; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Quantiles at which the curves are sampled.
const CURVE: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Quantiles of a duration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Largest value.
    pub max_ms: f64,
    /// Pairs of a quantile and its value in milliseconds.
    pub curve: Vec<(f64, f64)>,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let value_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: value_ms(0.5),
            p90_ms: value_ms(0.9),
            p99_ms: value_ms(0.99),
            p999_ms: value_ms(0.999),
            max_ms: histogram.max() as f64 / 1_000.0,
            curve: CURVE
                .map(|quantile| (quantile, value_ms(quantile)))
                .to_vec(),
        }
    }
}

/// Results of one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberResult {
    /// Number of attempts by verdict and HTTP status.
    pub verdicts: IndexMap<String, u64>,
    /// Time from admission to the start of execution.
    pub wait: Quantiles,
    /// Time from the planned start to the answer, of requests that ran.
    pub latency: Quantiles,
    /// Requests answered within their timeout, for each second of the run.
    pub goodput_per_second: Vec<u64>,
}

/// Result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// Experiment that was run.
    pub experiment: Experiment,
    /// Duration of the run until its last request ended.
    pub elapsed_seconds: f64,
    /// Number of requests that started later than planned.
    pub late_starts: usize,
    /// Results by member, in the order of the workloads.
    pub members: IndexMap<String, MemberResult>,
    /// Findings of the check against the executions.
    pub findings: Findings,
}

/// Accumulates the attempts of one member.
struct MemberCollector {
    wait: Histogram<u64>,
    latency: Histogram<u64>,
    result: MemberResult,
}

impl MemberCollector {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("valid bounds");
        Self {
            wait: histogram(),
            latency: histogram(),
            result: MemberResult::default(),
        }
    }

    fn add(&mut self, attempt: &Attempt, timeout_us: u64) {
        let verdict = match attempt.verdict {
            Some(verdict) if attempt.cancellation => format!("{verdict} by cancellation"),
            Some(verdict) => format!("{verdict} {}", attempt.status),
            None => "no response".to_owned(),
        };
        *self.result.verdicts.entry(verdict).or_insert(0) += 1;
        if attempt.verdict != Some(Verdict::Ran) || attempt.status != 200 {
            return;
        }
        if let Some(wait_us) = attempt.wait_us {
            self.wait.saturating_record(wait_us);
        }
        self.latency.saturating_record(attempt.latency_us);
        if attempt.latency_us > timeout_us {
            return;
        }
        let second = (attempt.ended_us / 1_000_000) as usize;
        let goodput = &mut self.result.goodput_per_second;
        if goodput.len() <= second {
            goodput.resize(second + 1, 0);
        }
        goodput[second] += 1;
    }

    fn finish(mut self) -> MemberResult {
        self.result.verdicts.sort_keys();
        self.result.wait = Quantiles::of(&self.wait);
        self.result.latency = Quantiles::of(&self.latency);
        self.result
    }
}

impl ExperimentResult {
    /// Computes the results of a recorded run.
    pub fn new(experiment: &Experiment, recording: &Recording, findings: Findings) -> Self {
        let mut collected: IndexMap<String, MemberCollector> = IndexMap::new();
        for workload in &experiment.workloads {
            collected
                .entry(workload.member.clone())
                .or_insert_with(MemberCollector::new);
        }
        for attempt in &recording.attempts {
            let workload = &experiment.workloads[attempt.workload];
            collected[&workload.member].add(attempt, workload.timeout_ms * 1_000);
        }
        Self {
            experiment: experiment.clone(),
            elapsed_seconds: recording.elapsed.as_secs_f64(),
            late_starts: recording.late_starts,
            members: collected
                .into_iter()
                .map(|(member, collected)| (member, collected.finish()))
                .collect(),
            findings,
        }
    }

    /// Reads a result from its JSON file.
    ///
    /// # Errors
    ///
    /// Returns a message with the name of the file and the error.
    pub fn load(path: &Path) -> Result<Self, String> {
        let name = path.display();
        let text = std::fs::read(path).map_err(|error| format!("cannot read {name}: {error}"))?;
        serde_json::from_slice(&text).map_err(|error| format!("{name}: {error}"))
    }

    /// Formats the result as a table for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{}, {:.1} s, {} started late\n{:<16} {:>10} {:>10} {:>10} {:>10} {:>10}  verdicts\n",
            self.experiment.name,
            self.elapsed_seconds,
            self.late_starts,
            "member",
            "goodput/s",
            "wait p50",
            "wait p99",
            "lat p50",
            "lat p99"
        );
        for (member, result) in &self.members {
            let verdicts: Vec<String> = result
                .verdicts
                .iter()
                .map(|(verdict, count)| format!("{verdict}: {count}"))
                .collect();
            let _ = writeln!(
                text,
                "{member:<16} {:>10.1} {:>10.2} {:>10.2} {:>10.2} {:>10.2}  {}",
                self.goodput(result),
                result.wait.p50_ms,
                result.wait.p99_ms,
                result.latency.p50_ms,
                result.latency.p99_ms,
                verdicts.join(", ")
            );
        }
        let checked = if self.findings.executions_checked {
            format!("{} executions compared", self.findings.executions)
        } else {
            "executions NOT compared, no runner was named".to_owned()
        };
        let _ = writeln!(text, "{checked}, {} violations", self.findings.violations);
        for description in &self.findings.descriptions {
            let _ = writeln!(text, "  {description}");
        }
        text
    }

    /// Mean goodput of a member over the time in which requests were sent.
    pub fn goodput(&self, result: &MemberResult) -> f64 {
        let good: u64 = result.goodput_per_second.iter().sum();
        good as f64 / self.experiment.seconds as f64
    }

    /// Formats the result as an HTML page that needs no other file.
    pub fn to_html(&self) -> String {
        let mut page = format!(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
             <style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}\
             pre{{overflow-x:auto}}</style><h1>{name}</h1><pre>{text}</pre>",
            name = escape(&self.experiment.name),
            text = escape(&self.to_text())
        );
        for plot in [
            plots::goodput(self),
            plots::quantiles(self, "Waiting time", |result| &result.wait),
            plots::quantiles(self, "Latency", |result| &result.latency),
        ] {
            match plot {
                Ok(svg) => page.push_str(&svg),
                Err(error) => {
                    let _ = write!(page, "<p>no plot: {}</p>", escape(&error));
                }
            }
        }
        let settings = toml::to_string(&self.experiment).unwrap_or_default();
        let _ = write!(
            page,
            "<h2>Experiment</h2><pre>{}</pre></html>",
            escape(&settings)
        );
        page
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Formats a table that compares two results member by member.
pub fn compare(a: &ExperimentResult, b: &ExperimentResult) -> String {
    let mut text = format!(
        "A: {}\nB: {}\n{:<16} {:>12} {:>12} {:>9} {:>12} {:>12} {:>9}\n",
        a.experiment.name,
        b.experiment.name,
        "member",
        "goodput A",
        "goodput B",
        "B/A",
        "wait p99 A",
        "wait p99 B",
        "B/A"
    );
    for (member, result_a) in &a.members {
        let Some(result_b) = b.members.get(member) else {
            continue;
        };
        let (goodput_a, goodput_b) = (a.goodput(result_a), b.goodput(result_b));
        let (wait_a, wait_b) = (result_a.wait.p99_ms, result_b.wait.p99_ms);
        let _ = writeln!(
            text,
            "{member:<16} {goodput_a:>12.1} {goodput_b:>12.1} {:>9.2} {wait_a:>12.2} {wait_b:>12.2} {:>9.2}",
            goodput_b / goodput_a,
            wait_b / wait_a
        );
    }
    let _ = writeln!(
        text,
        "violations: {} and {}",
        a.findings.violations, b.findings.violations
    );
    text
}
