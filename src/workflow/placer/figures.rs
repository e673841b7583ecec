//! Statistics of the placer's own work. A thread that never locks the term reports them once a
//! second, so that the report also appears while another thread holds the term for a long time.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::super::instruments::instruments;
use super::Placer;
use super::passes::Examined;
use crate::ids::Epoch;
use crate::peer::call_load::{self, CallLoad};
use crate::replication::MemberProgress;
use crate::telemetry::processor_time::{self, Activity};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait of a call with log entries from which on a host that does not lead reports too: a heartbeat
/// interval of the log.
const LONG_REPLICATION_WAIT: Duration = Duration::from_millis(100);

/// Holds of the term lock by one activity.
#[derive(Clone, Copy, Debug, Default)]
struct Holds {
    count: u64,
    held: Duration,
    longest: Duration,
    /// Processor time used while the term was held; for the rest of `held` the thread did not run.
    processor_time: Duration,
}

/// Counters since the last report.
#[derive(Clone, Debug, Default)]
struct Counts {
    holds: [Holds; Activity::ALL.len()],
    longest_wait: Duration,
    passes: u64,
    pass_time: Duration,
    longest_pass: Duration,
    stages: u64,
    fruitless: u64,
    workers: u64,
    commits: u64,
    longest_commit_gap: Duration,
    /// Sum and maximum of the times from the append of a batch to its commit.
    commit_time: Duration,
    longest_commit: Duration,
}

impl Counts {
    fn mean_commit(&self) -> Duration {
        let commits = u32::try_from(self.commits).unwrap_or(u32::MAX);
        self.commit_time.checked_div(commits).unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    /// Epoch of the current term; `None` while this host does not lead.
    epoch: Option<Epoch>,
    /// Activity that holds the term, and the start of the hold.
    holder: Option<(Activity, Instant)>,
    /// Sequence number and time of the append of the batches that are not committed yet, in order.
    uncommitted: VecDeque<(u64, Instant)>,
    /// Time of the latest commit, or of the append of the first batch after all others were
    /// committed.
    commits_since: Option<Instant>,
}

/// Statistics of the placer. The lock inside is held for a few instructions at a time and is always
/// the last one that a thread acquires.
#[derive(Debug, Default)]
pub(super) struct PlacerStatistics {
    inner: Mutex<Inner>,
}

impl PlacerStatistics {
    /// Records that a term with the epoch begins, or with `None` that the current one ends.
    pub(super) fn record_term(&self, epoch: Option<Epoch>) {
        let mut inner = self.inner.lock().unwrap();
        inner.epoch = epoch;
        inner.uncommitted.clear();
        inner.commits_since = None;
    }

    pub(super) fn record_locked(&self, now: Instant) {
        self.inner.lock().unwrap().holder = Some((processor_time::activity(), now));
    }

    pub(super) fn record_unlocked(
        &self,
        waited: Duration,
        held: Duration,
        processor_time: Duration,
    ) {
        let activity = processor_time::activity();
        instruments().record_term_hold(activity.label(), held);
        let mut inner = self.inner.lock().unwrap();
        inner.holder = None;
        let counts = &mut inner.counts;
        counts.longest_wait = counts.longest_wait.max(waited);
        let holds = &mut counts.holds[activity as usize];
        holds.count += 1;
        holds.held += held;
        holds.longest = holds.longest.max(held);
        holds.processor_time += processor_time;
    }

    pub(super) fn record_pass(&self, took: Duration, examined: &Examined) {
        let (stages, workers) = (examined.searches, examined.workers);
        instruments().record_pass(took, stages, workers);
        let counts = &mut self.inner.lock().unwrap().counts;
        counts.passes += 1;
        counts.pass_time += took;
        counts.longest_pass = counts.longest_pass.max(took);
        counts.stages += stages;
        counts.fruitless += examined.fruitless;
        counts.workers += workers;
    }

    pub(super) fn record_appended(&self, sequence: u64, now: Instant) {
        let mut inner = self.inner.lock().unwrap();
        if inner.uncommitted.is_empty() {
            inner.commits_since = Some(now);
        }
        inner.uncommitted.push_back((sequence, now));
    }

    pub(super) fn record_committed(&self, sequence: u64, now: Instant) {
        let mut inner = self.inner.lock().unwrap();
        while let Some((first, appended_at)) = inner.uncommitted.front().copied()
            && first <= sequence
        {
            inner.uncommitted.pop_front();
            let took = now.saturating_duration_since(appended_at);
            instruments().record_commit(took);
            inner.counts.commits += 1;
            inner.counts.commit_time += took;
            inner.counts.longest_commit = inner.counts.longest_commit.max(took);
        }
        let since = inner.commits_since.replace(now);
        let gap = since.map(|since| now.saturating_duration_since(since));
        let gap = gap.unwrap_or_default();
        instruments().record_commit_gap(gap);
        inner.counts.longest_commit_gap = inner.counts.longest_commit_gap.max(gap);
    }

    /// Returns the mean and the longest time from the append of a batch to its commit since the last
    /// report.
    #[cfg(test)]
    pub(super) fn commit_times(&self) -> (Duration, Duration) {
        let counts = &self.inner.lock().unwrap().counts;
        (counts.mean_commit(), counts.longest_commit)
    }

    /// Describes the longest hold of the term since the last report, and the current one, with the
    /// activity and the duration in milliseconds of each.
    pub(super) fn describe_holds(&self, now: Instant) -> String {
        let inner = self.inner.lock().unwrap();
        let holds = Activity::ALL.iter().zip(&inner.counts.holds);
        let longest = holds.max_by_key(|(_, holds)| holds.longest);
        let mut text = longest.map_or_else(String::new, |(activity, holds)| {
            format!("longest {}={}", activity.label(), holds.longest.as_millis())
        });
        if let Some((activity, since)) = inner.holder {
            let held = now.saturating_duration_since(since);
            text.push_str(&format!(" now {}={}", activity.label(), held.as_millis()));
        }
        text
    }
}

impl Placer {
    /// Reports once a second while this host leads or its calls with log entries wait for long.
    pub(super) fn run_reports(&self) {
        let mut reported_at = Instant::now();
        let mut processor_times = ProcessorTimes::read();
        loop {
            thread::sleep(REPORT_INTERVAL);
            let now = Instant::now();
            let interval = now.saturating_duration_since(reported_at);
            reported_at = now;
            let used = ProcessorTimes::read();
            let text = used.describe_since(&processor_times);
            processor_times = used;
            self.report(now, interval, &text);
        }
    }

    fn report(&self, now: Instant, interval: Duration, processor_ms: &str) {
        let calls = call_load::take();
        let (instructions, questions) = (self.queued_instructions(), self.questions.len());
        instruments().record_queues(instructions as u64, questions as u64, calls);
        let (counts, epoch, oldest, uncommitted, holder) = {
            let mut inner = self.statistics.inner.lock().unwrap();
            let oldest = inner.uncommitted.front().map(|(_, at)| *at);
            let oldest = oldest.map(|at| now.saturating_duration_since(at));
            let counts = std::mem::take(&mut inner.counts);
            let (epoch, holder) = (inner.epoch, inner.holder);
            (counts, epoch, oldest, inner.uncommitted.len(), holder)
        };
        instruments().record_uncommitted(oldest.unwrap_or_default());
        if epoch.is_none() && calls.longest_replication_wait < LONG_REPLICATION_WAIT {
            return;
        }
        let holder = holder.map(|(activity, since)| {
            let held = now.saturating_duration_since(since);
            format!("{}={}", activity.label(), held.as_millis())
        });
        let CallLoad {
            in_flight, threads, ..
        } = calls;
        log::info!(
            epoch:? = epoch, interval_ms = ms(interval), processor_ms,
            held_ms = describe_durations(&counts.holds, |holds| holds.held),
            held_processor_ms = describe_durations(&counts.holds, |holds| holds.processor_time),
            longest_held_ms = describe_durations(&counts.holds, |holds| holds.longest),
            holds = describe_counts(&counts.holds),
            held_now_ms:? = holder, longest_term_wait_ms = ms(counts.longest_wait),
            passes = counts.passes, pass_ms = ms(counts.pass_time),
            longest_pass_ms = ms(counts.longest_pass), stages_examined = counts.stages,
            fruitless_searches = counts.fruitless, workers_examined = counts.workers, instructions_queued = instructions,
            questions_queued = questions, calls_in_flight = in_flight, call_threads = threads,
            longest_call_wait_ms = ms(calls.longest_wait),
            longest_replication_wait_ms = ms(calls.longest_replication_wait),
            commits = counts.commits, mean_commit_ms = ms(counts.mean_commit()),
            longest_commit_ms = ms(counts.longest_commit),
            longest_commit_gap_ms = ms(counts.longest_commit_gap),
            uncommitted, oldest_uncommitted_ms = ms(oldest.unwrap_or_default());
            "load of the placer"
        );
    }

    /// Logs the end of a term with the ages of the latest calls to the other members, which show
    /// why the leadership may have been lost: if calls were sent recently but the latest answered
    /// ones are old, the members did not answer; if the sent calls are old too, this host did not
    /// send.
    pub(super) fn log_term_end(&self, epoch: Epoch, term_wait: Duration, reason: &str) {
        let now = Instant::now();
        let clock = self.clock.now();
        let members = self.replica.members();
        let describe = |member: &MemberProgress| {
            let age = |at: Option<Instant>| {
                at.map_or_else(
                    || "never".to_owned(),
                    |at| ms(clock.saturating_duration_since(at)).to_string(),
                )
            };
            format!(
                "{} answered={} sent={}",
                member.host,
                age(member.answered_at),
                age(member.sent_at)
            )
        };
        let others = members
            .iter()
            .filter(|member| member.host != self.settings.host);
        let calls: Vec<String> = others.map(describe).collect();
        log::warn!(
            epoch, calls_ms_ago = calls.join(", "), term_wait_ms = ms(term_wait),
            term_held_ms = self.statistics.describe_holds(now);
            "{reason}"
        );
    }
}

/// Processor time of the process and of each activity since the start of the process.
struct ProcessorTimes {
    process: Duration,
    activities: [Duration; Activity::ALL.len()],
}

impl ProcessorTimes {
    fn read() -> Self {
        Self {
            process: processor_time::used_by_process(),
            activities: Activity::ALL.map(processor_time::used),
        }
    }

    /// Describes the processor time since an earlier reading by activity, in milliseconds; `other`
    /// is the time that was charged to no activity.
    fn describe_since(&self, before: &Self) -> String {
        let process = self.process.saturating_sub(before.process);
        let mut text = format!("all={}", ms(process));
        let mut other = process;
        for (position, activity) in Activity::ALL.iter().enumerate() {
            let used = self.activities[position].saturating_sub(before.activities[position]);
            other = other.saturating_sub(used);
            if !used.is_zero() {
                text.push_str(&format!(" {}={}", activity.label(), ms(used)));
            }
        }
        text.push_str(&format!(" other={}", ms(other)));
        text
    }
}

fn describe_durations(holds: &[Holds], duration: impl Fn(&Holds) -> Duration) -> String {
    describe_each(holds, |holds| ms(duration(holds)))
}

fn describe_counts(holds: &[Holds]) -> String {
    describe_each(holds, |holds| holds.count)
}

/// Lists the activities that held the term, each with a value.
fn describe_each(holds: &[Holds], value: impl Fn(&Holds) -> u64) -> String {
    let mut parts = Vec::new();
    for (activity, holds) in Activity::ALL.iter().zip(holds) {
        if holds.count > 0 {
            parts.push(format!("{}={}", activity.label(), value(holds)));
        }
    }
    parts.join(" ")
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
