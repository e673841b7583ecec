//! Figures of the placer's own work, reported once a second by a thread that never locks the term:
//! the report has to come while another thread holds it for long.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::super::instruments::instruments;
use super::Placer;
use crate::ids::Epoch;
use crate::peer::call_load::{self, CallLoad};
use crate::replication::MemberProgress;
use crate::telemetry::processor_time::{self, Activity};

/// Interval of the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait of a call with entries of the log after which a host that does not lead reports too: a
/// heartbeat interval.
const LONG_REPLICATION_WAIT: Duration = Duration::from_millis(100);

/// Holds of the term by one activity.
#[derive(Clone, Copy, Debug, Default)]
struct Holds {
    count: u64,
    held: Duration,
    longest: Duration,
    /// Processor time while the term was held; the rest of `held` passed without a processor.
    processor_time: Duration,
}

/// What was counted since the last report.
#[derive(Clone, Debug, Default)]
struct Counts {
    holds: [Holds; Activity::ALL.len()],
    longest_wait: Duration,
    passes: u64,
    pass_time: Duration,
    longest_pass: Duration,
    stages: u64,
    workers: u64,
    commits: u64,
    longest_commit_gap: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    /// Epoch of the term, while there is one.
    epoch: Option<Epoch>,
    /// Who holds the term, and since when.
    holder: Option<(Activity, Instant)>,
    /// Batches that are not committed yet, in the order of their numbers.
    uncommitted: VecDeque<(u64, Instant)>,
    /// Latest commit, or the append of the first batch after a time without any.
    commits_since: Option<Instant>,
}

/// Figures of the placer. Its lock is held for a few instructions at a time and is always the
/// innermost one.
#[derive(Debug, Default)]
pub(super) struct Figures {
    inner: Mutex<Inner>,
}

impl Figures {
    /// The term begins, or ends with `None`.
    pub(super) fn note_term(&self, epoch: Option<Epoch>) {
        let mut inner = self.inner.lock().unwrap();
        inner.epoch = epoch;
        inner.uncommitted.clear();
        inner.commits_since = None;
    }

    pub(super) fn note_locked(&self, now: Instant) {
        self.inner.lock().unwrap().holder = Some((processor_time::activity(), now));
    }

    pub(super) fn note_unlocked(&self, waited: Duration, held: Duration, processor_time: Duration) {
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

    pub(super) fn note_pass(&self, took: Duration, (stages, workers): (u64, u64)) {
        instruments().record_pass(took, stages, workers);
        let counts = &mut self.inner.lock().unwrap().counts;
        counts.passes += 1;
        counts.pass_time += took;
        counts.longest_pass = counts.longest_pass.max(took);
        counts.stages += stages;
        counts.workers += workers;
    }

    pub(super) fn note_appended(&self, sequence: u64, now: Instant) {
        let mut inner = self.inner.lock().unwrap();
        if inner.uncommitted.is_empty() {
            inner.commits_since = Some(now);
        }
        inner.uncommitted.push_back((sequence, now));
    }

    pub(super) fn note_committed(&self, sequence: u64, now: Instant) {
        let mut inner = self.inner.lock().unwrap();
        while inner
            .uncommitted
            .front()
            .is_some_and(|(first, _)| *first <= sequence)
        {
            inner.uncommitted.pop_front();
        }
        let since = inner.commits_since.replace(now);
        let gap = since.map(|since| now.saturating_duration_since(since));
        let gap = gap.unwrap_or_default();
        instruments().record_commit_gap(gap);
        inner.counts.commits += 1;
        inner.counts.longest_commit_gap = inner.counts.longest_commit_gap.max(gap);
    }

    /// Who held the term longest since the last report, and who holds it now.
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
    /// Reports once a second while this host leads.
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
            let mut inner = self.figures.inner.lock().unwrap();
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
            held_ms = describe(&counts.holds, |holds| holds.held),
            held_processor_ms = describe(&counts.holds, |holds| holds.processor_time),
            longest_held_ms = describe(&counts.holds, |holds| holds.longest),
            holds = describe_counts(&counts.holds),
            held_now_ms:? = holder, longest_term_wait_ms = ms(counts.longest_wait),
            passes = counts.passes, pass_ms = ms(counts.pass_time),
            longest_pass_ms = ms(counts.longest_pass), stages_examined = counts.stages,
            workers_examined = counts.workers, instructions_queued = instructions,
            questions_queued = questions, calls_in_flight = in_flight, call_threads = threads,
            longest_call_wait_ms = ms(calls.longest_wait),
            longest_replication_wait_ms = ms(calls.longest_replication_wait),
            commits = counts.commits, longest_commit_gap_ms = ms(counts.longest_commit_gap),
            uncommitted, oldest_uncommitted_ms = ms(oldest.unwrap_or_default());
            "load of the placer"
        );
    }

    /// Says why the leadership may have been lost: a majority whose latest answered calls are old
    /// although later ones were sent has not answered; where the calls themselves are old, this
    /// host did not send.
    pub(super) fn report_loss(&self, epoch: Epoch, term_wait: Duration, reason: &str) {
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
            term_held_ms = self.figures.describe_holds(now);
            "{reason}"
        );
    }
}

/// Processor time of the process and of its activities since it began.
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

    /// Use since an earlier reading by activity; `other` is what no activity was charged for.
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

fn describe(holds: &[Holds], figure: impl Fn(&Holds) -> Duration) -> String {
    describe_each(holds, |holds| ms(figure(holds)))
}

fn describe_counts(holds: &[Holds]) -> String {
    describe_each(holds, |holds| holds.count)
}

/// Name and figure of each activity that held the term.
fn describe_each(holds: &[Holds], figure: impl Fn(&Holds) -> u64) -> String {
    let mut parts = Vec::new();
    for (activity, holds) in Activity::ALL.iter().zip(holds) {
        if holds.count > 0 {
            parts.push(format!("{}={}", activity.label(), figure(holds)));
        }
    }
    parts.join(" ")
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
