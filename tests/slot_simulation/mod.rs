//! Discrete simulation of a request queue and the slots of one service, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::request_queue::{QueuedRequest, RequestQueue};

pub const SERVICE: &str = "quotes";

/// A request that arrives at a given time.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub member: String,
    pub caller: String,
    pub urgency: Urgency,
    pub work_us: u64,
    pub timeout_us: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Got a slot after the given wait.
    Started { wait_us: u64 },
    /// Refused on arrival.
    Refused,
    /// Taken out of the queue by the queue.
    Dropped,
    /// Its deadline passed while it was waiting.
    TimedOut,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Finish(usize),
    Deadline(usize),
}

pub struct Simulation {
    queue: RequestQueue,
    arrivals: Vec<Arrival>,
    endings: Vec<Option<Ending>>,
    started_us: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    free_slots: usize,
    origin: Instant,
    /// Most requests that waited at once.
    pub longest_queue: usize,
    /// Requests of each member that wait now.
    queued: BTreeMap<String, usize>,
    /// Most requests of each member that waited at once.
    pub longest_queues: BTreeMap<String, usize>,
}

impl Simulation {
    /// Runs the arrivals, which are sorted by time, until every request has ended.
    pub fn run(queue: RequestQueue, slots: usize, arrivals: Vec<Arrival>) -> Self {
        let mut simulation = Self {
            queue,
            endings: vec![None; arrivals.len()],
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

    pub fn ending(&self, index: usize) -> Ending {
        self.endings[index].expect("every request ends")
    }

    /// Requests with their endings.
    pub fn results(&self) -> impl Iterator<Item = (&Arrival, Ending)> {
        let endings = (0..self.arrivals.len()).map(|index| self.ending(index));
        self.arrivals.iter().zip(endings)
    }

    /// Slot time that each member used until a time.
    pub fn slot_time_us(&self, until_us: u64) -> BTreeMap<String, u64> {
        let mut used = BTreeMap::new();
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let Ending::Started { .. } = self.ending(index) else {
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

    fn arrive(&mut self, index: usize) {
        let at_us = self.arrivals[index].at_us;
        let deadline_us = at_us + self.arrivals[index].timeout_us;
        if self
            .queue
            .admit(self.request(index), self.time(at_us))
            .is_err()
        {
            self.endings[index] = Some(Ending::Refused);
        } else {
            self.events
                .push(Reverse((deadline_us, Event::Deadline(index))));
        }
        let member = self.arrivals[index].member.clone();
        *self.queued.entry(member.clone()).or_insert(0) += 1;
        if self.endings[index].is_some() {
            self.left(index);
        }
        self.take_dropped();
        self.longest_queue = self.longest_queue.max(self.queue.len());
        let queued = self.queued[&member];
        let longest = self.longest_queues.entry(member).or_insert(0);
        *longest = queued.max(*longest);
        self.assign(at_us);
    }

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
                        self.end(index, Ending::TimedOut);
                    }
                }
            }
            self.assign(at_us);
        }
    }

    fn assign(&mut self, now_us: u64) {
        let now = self.time(now_us);
        self.take_dropped();
        while self.free_slots > 0 {
            let selection = self.queue.next(SERVICE, now);
            for (request, _) in selection.refused {
                self.end(request.key.parse().unwrap(), Ending::Dropped);
            }
            let Some(request) = selection.chosen else {
                return;
            };
            let index: usize = request.key.parse().unwrap();
            let wait_us = now_us - self.arrivals[index].at_us;
            self.end(index, Ending::Started { wait_us });
            self.started_us[index] = now_us;
            self.free_slots -= 1;
            let end_us = now_us + self.arrivals[index].work_us;
            self.events.push(Reverse((end_us, Event::Finish(index))));
        }
    }

    fn take_dropped(&mut self) {
        for (request, _) in self.queue.take_dropped() {
            self.end(request.key.parse().unwrap(), Ending::Dropped);
        }
    }

    fn left(&mut self, index: usize) {
        let queued = self.queued.get_mut(&self.arrivals[index].member);
        *queued.expect("the member has arrivals") -= 1;
    }

    fn end(&mut self, index: usize, ending: Ending) {
        let former = self.endings[index].replace(ending);
        assert_eq!(former, None, "request {index} ended twice");
        self.left(index);
    }
}

/// Arrivals at fixed intervals, or by a Poisson process with a seed.
#[derive(Clone, Debug)]
pub struct Stream {
    pub member: String,
    pub callers: usize,
    pub urgency: Urgency,
    pub per_second: f64,
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

/// Merges Poisson arrivals of all streams, reproducibly.
pub fn poisson(streams: &[Stream], seed: u64) -> Vec<Arrival> {
    use rand::SeedableRng;
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        // A generator of its own keeps each stream the same when others are added.
        let mut random = rand::rngs::StdRng::seed_from_u64(seed + index as u64);
        arrivals.extend(stream.arrivals(&mut random));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}
