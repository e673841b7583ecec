//! Discrete-event simulation of a request queue and the slots of one service, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::request_queue::{QueuedRequest, RequestQueue};

pub const SERVICE: &str = "quotes";

/// A request with its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub member: String,
    pub caller: String,
    pub urgency: Urgency,
    /// Execution time.
    pub work_us: u64,
    /// Time from the arrival to the deadline.
    pub timeout_us: u64,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Received a slot after the given waiting time.
    Started { wait_us: u64 },
    /// Refused on arrival.
    Refused,
    /// Removed by the queue after it had been admitted.
    Dropped,
    /// The deadline passed while the request was waiting.
    TimedOut,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Finish(usize),
    Deadline(usize),
}

/// Simulation whose events and results refer to requests by their position in `arrivals`.
pub struct Simulation {
    queue: RequestQueue,
    arrivals: Vec<Arrival>,
    outcomes: Vec<Option<Outcome>>,
    /// Start time of each request; zero if it did not start.
    started_us: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    free_slots: usize,
    origin: Instant,
    /// Maximum number of requests that waited at the same time.
    pub longest_queue: usize,
    /// Number of waiting requests of each member.
    queued: BTreeMap<String, usize>,
    /// Maximum number of requests of each member that waited at the same time.
    pub longest_queues: BTreeMap<String, usize>,
}

impl Simulation {
    /// Simulates the arrivals, which must be sorted by time, until every request has an outcome.
    pub fn run(queue: RequestQueue, slots: usize, arrivals: Vec<Arrival>) -> Self {
        let mut simulation = Self {
            queue,
            outcomes: vec![None; arrivals.len()],
            started_us: vec![0; arrivals.len()],
            arrivals,
            events: BinaryHeap::new(),
            free_slots: slots,
            origin: Instant::now(),
            longest_queue: 0,
            queued: BTreeMap::new(),
            longest_queues: BTreeMap::new(),
        };
        simulation.queue.set_slots(SERVICE, slots as u32);
        for index in 0..simulation.arrivals.len() {
            simulation.process_until(simulation.arrivals[index].at_us);
            simulation.arrive(index);
        }
        simulation.process_until(u64::MAX);
        simulation
    }

    pub fn outcome(&self, index: usize) -> Outcome {
        self.outcomes[index].expect("every request has an outcome")
    }

    /// Requests with their outcomes.
    pub fn results(&self) -> impl Iterator<Item = (&Arrival, Outcome)> {
        let outcomes = (0..self.arrivals.len()).map(|index| self.outcome(index));
        self.arrivals.iter().zip(outcomes)
    }

    /// Slot time that each member used before `until_us`.
    pub fn slot_time_us(&self, until_us: u64) -> BTreeMap<String, u64> {
        let mut used = BTreeMap::new();
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let Outcome::Started { .. } = self.outcome(index) else {
                continue;
            };
            let end_us = (self.started_us[index] + arrival.work_us).min(until_us);
            *used.entry(arrival.member.clone()).or_insert(0) +=
                end_us.saturating_sub(self.started_us[index]);
        }
        used
    }

    fn time(&self, at_us: u64) -> Instant {
        self.origin + Duration::from_micros(at_us)
    }

    fn request(&self, index: usize) -> QueuedRequest {
        let arrival = &self.arrivals[index];
        QueuedRequest {
            key: index.to_string(),
            member: arrival.member.clone(),
            caller: arrival.caller.clone(),
            service: SERVICE.to_owned(),
            urgency: arrival.urgency,
            deadline: self.time(arrival.at_us + arrival.timeout_us),
            admitted_at: self.time(arrival.at_us),
        }
    }

    /// Admits a request, then assigns free slots.
    fn arrive(&mut self, index: usize) {
        let at_us = self.arrivals[index].at_us;
        let deadline_us = at_us + self.arrivals[index].timeout_us;
        if self
            .queue
            .admit(self.request(index), self.time(at_us))
            .is_err()
        {
            self.outcomes[index] = Some(Outcome::Refused);
        } else {
            self.events
                .push(Reverse((deadline_us, Event::Deadline(index))));
        }
        let member = self.arrivals[index].member.clone();
        *self.queued.entry(member.clone()).or_insert(0) += 1;
        if self.outcomes[index].is_some() {
            self.leave_queue(index);
        }
        self.take_dropped();
        self.longest_queue = self.longest_queue.max(self.queue.len());
        let queued = self.queued[&member];
        let longest = self.longest_queues.entry(member).or_insert(0);
        *longest = queued.max(*longest);
        self.assign_slots(at_us);
    }

    /// Processes the events up to and including `until_us`.
    fn process_until(&mut self, until_us: u64) {
        while let Some(&Reverse((at_us, event))) = self.events.peek() {
            if at_us > until_us {
                return;
            }
            self.events.pop();
            match event {
                Event::Finish(index) => {
                    let (started, now) = (self.time(self.started_us[index]), self.time(at_us));
                    self.queue.finished(&self.request(index), started, now);
                    self.free_slots += 1;
                }
                Event::Deadline(index) => {
                    if self.queue.cancel(&index.to_string()) {
                        self.record_outcome(index, Outcome::TimedOut);
                    }
                }
            }
            self.assign_slots(at_us);
        }
    }

    /// Assigns free slots to waiting requests.
    fn assign_slots(&mut self, now_us: u64) {
        let now = self.time(now_us);
        self.take_dropped();
        while self.free_slots > 0 {
            let selection = self.queue.next(SERVICE, now);
            for (request, _) in selection.refused {
                self.record_outcome(request.key.parse().unwrap(), Outcome::Dropped);
            }
            let Some(request) = selection.chosen else {
                return;
            };
            let index: usize = request.key.parse().unwrap();
            let wait_us = now_us - self.arrivals[index].at_us;
            self.record_outcome(index, Outcome::Started { wait_us });
            self.started_us[index] = now_us;
            self.free_slots -= 1;
            let end_us = now_us + self.arrivals[index].work_us;
            self.events.push(Reverse((end_us, Event::Finish(index))));
        }
    }

    fn take_dropped(&mut self) {
        for (request, _) in self.queue.take_dropped() {
            self.record_outcome(request.key.parse().unwrap(), Outcome::Dropped);
        }
    }

    /// Subtracts a request from the waiting requests of its member.
    fn leave_queue(&mut self, index: usize) {
        let queued = self.queued.get_mut(&self.arrivals[index].member);
        *queued.expect("the member has arrivals") -= 1;
    }

    /// Records the outcome of an admitted request, which leaves the queue.
    fn record_outcome(&mut self, index: usize, outcome: Outcome) {
        let former = self.outcomes[index].replace(outcome);
        assert_eq!(former, None, "request {index} ended twice");
        self.leave_queue(index);
    }
}

/// Parameters of a Poisson process of arrivals, whose requests are spread evenly over callers.
#[derive(Clone, Debug)]
pub struct Stream {
    pub member: String,
    /// Number of callers of the member.
    pub callers: usize,
    pub urgency: Urgency,
    /// Mean arrival rate.
    pub per_second: f64,
    /// Execution time, or its mean with `varied_work`.
    pub work_us: u64,
    /// Whether execution times are exponentially distributed around `work_us`.
    pub varied_work: bool,
    pub timeout_us: u64,
    pub from_us: u64,
    pub until_us: u64,
}

impl Stream {
    pub fn new(member: &str, per_second: f64, work_us: u64) -> Self {
        Self {
            member: member.to_owned(),
            callers: 1,
            urgency: Urgency::Normal,
            per_second,
            work_us,
            varied_work: false,
            timeout_us: 10_000_000,
            from_us: 0,
            until_us: 30_000_000,
        }
    }

    fn arrivals(&self, random: &mut impl rand::Rng) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at_us = self.from_us as f64;
        loop {
            at_us += exponential(random) * 1e6 / self.per_second;
            let factor = exponential(random);
            if at_us >= self.until_us as f64 {
                return arrivals;
            }
            arrivals.push(Arrival {
                at_us: at_us as u64,
                member: self.member.clone(),
                caller: format!("caller-{}", arrivals.len() % self.callers),
                urgency: self.urgency,
                work_us: if self.varied_work {
                    (self.work_us as f64 * factor) as u64 + 1
                } else {
                    self.work_us
                },
                timeout_us: self.timeout_us,
            });
        }
    }
}

/// A sample of the exponential distribution with mean 1.
fn exponential(random: &mut impl rand::Rng) -> f64 {
    use rand::RngExt;
    -(1.0 - random.random::<f64>()).ln()
}

/// Generates the arrivals of all streams in order of time; equal seeds yield equal arrivals.
pub fn poisson(streams: &[Stream], seed: u64) -> Vec<Arrival> {
    use rand::SeedableRng;
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        // Each stream has a generator of its own, so added streams do not change the others.
        let mut random = rand::rngs::StdRng::seed_from_u64(seed + index as u64);
        arrivals.extend(stream.arrivals(&mut random));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}
