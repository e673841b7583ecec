//! Tests of the renewal of the permits of gangs that have gathered their room.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::fixture::{Fixture, stage, task};
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::ledger::{Allocation, Purpose};
use crate::workflow::calls::{HostContact, PolicyAnswer};
use crate::workflow::placer::policy::Question;
use crate::workflow::spec::StageSpec;

/// Decision of the policy, and additional time for each worker, in milliseconds.
const DECISION_MS: f64 = 507.0;
const PER_WORKER_MS: f64 = 7.28;
const VALIDITY_MS: u64 = 2_500;
const ROUND_TRIP: Duration = Duration::from_millis(157);
/// Time of the answer to a question about as many workers as one may name.
const LONGEST_ANSWER: Duration = Duration::from_millis(1_235 + 157);
/// Time from a change to the end of the pass that takes it into account.
const PASS_DELAY: Duration = Duration::from_millis(100);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(4);
const TICK: Duration = Duration::from_millis(100);
const OCCUPANT: &str = "occupant";

/// Resources of which a worker has room for one.
const WHOLE_WORKER: Resources = Resources {
    cpu_millis: 3_000,
    memory_mib: 100,
    accelerators: 0,
};

/// A cell with one gang, of which a worker holds one member, whose workers were granted before.
#[derive(Clone, Copy, Debug)]
struct Room {
    workers: usize,
    members: usize,
    /// Workers that are occupied at first; one of them becomes free in each interval.
    occupied: usize,
    free_interval: Duration,
    hosts: usize,
}

impl Room {
    /// Time at which there is room for all members.
    fn whole_after(&self) -> Duration {
        let unoccupied = self.workers - self.occupied;
        self.free_interval * self.members.saturating_sub(unoccupied) as u32
    }
}

struct Cell {
    fixture: Fixture,
    hosts: usize,
    occupied: VecDeque<(Instant, WorkerId)>,
    answers: BTreeMap<(Instant, usize), Question>,
    questions: usize,
    asked_workers: usize,
    next_tick_at: Instant,
}

impl Cell {
    fn new(room: &Room) -> Self {
        let mut fixture = Fixture::with_policy_valid_for(DECISION_MS, PER_WORKER_MS, VALIDITY_MS);
        let workers: Vec<String> = (0..room.workers).map(|n| format!("w{n}")).collect();
        for worker in &workers {
            fixture.announce(worker);
        }
        let mut occupied = VecDeque::new();
        for (position, worker) in workers.iter().take(room.occupied).enumerate() {
            let index = fixture.term.workers[worker].index;
            let allocation = Allocation {
                amount: WHOLE_WORKER,
                purpose: Purpose::Task,
                urgency: Urgency::Normal,
            };
            let ledger = &mut fixture.term.ledger;
            assert!(ledger.allocate(index, OCCUPANT, allocation).is_ok());
            let free_at = fixture.now.at + room.free_interval * (position as u32 + 1);
            occupied.push_back((free_at, worker.clone()));
        }
        let gang = StageSpec {
            gang: true,
            resources: WHOLE_WORKER,
            ..stage(room.members as u32)
        };
        fixture.submit_without_pass(super::fixture::JOB, vec![gang]);
        fixture.commit_all();
        let granted = workers.iter().cloned();
        let granted: Vec<_> = granted
            .map(|worker| (worker, "permit".to_owned()))
            .collect();
        let stage = &mut fixture.term.stages[&task(0).stage];
        stage.permits.record(&workers, &granted, fixture.now.at);
        Self {
            hosts: room.hosts,
            occupied,
            answers: BTreeMap::new(),
            questions: 0,
            asked_workers: 0,
            next_tick_at: fixture.now.at,
            fixture,
        }
    }

    /// Runs the cell until the gang starts or the time is over. Returns when it started.
    fn run(&mut self, time: Duration) -> Option<Duration> {
        let begun_at = self.fixture.now.at;
        while self.fixture.now.at < begun_at + time {
            self.fixture.advance(STEP);
            self.tick();
            self.free_workers();
            self.answer();
            if self.fixture.term.is_pass_due() {
                let questions = self.fixture.term.schedule(self.fixture.now);
                self.add_questions(questions);
            }
            self.fixture.commit_all();
            if self.fixture.starts() > 0 {
                return Some(self.fixture.now.at - begun_at);
            }
        }
        None
    }

    fn tick(&mut self) {
        let now = self.fixture.now;
        if now.at < self.next_tick_at {
            return;
        }
        self.next_tick_at = now.at + TICK;
        for host in 0..self.hosts {
            let contact = HostContact {
                host: format!("10.0.0.{host}"),
                data_centre: "lowell-yard".to_owned(),
                stores: false,
            };
            self.fixture.term.record_contact(contact, now.at);
        }
        self.fixture.term.passes.changed = true;
    }

    fn free_workers(&mut self) {
        while let Some((free_at, worker)) = self.occupied.front() {
            if *free_at > self.fixture.now.at {
                break;
            }
            let index = self.fixture.term.workers[worker].index;
            self.fixture.term.ledger.release(index, OCCUPANT);
            self.occupied.pop_front();
        }
    }

    fn add_questions(&mut self, questions: Vec<Question>) {
        for question in questions {
            let answered_at = self.fixture.now.at + question.expected + ROUND_TRIP;
            self.questions += 1;
            self.asked_workers += question.workers.len();
            self.answers.insert((answered_at, self.questions), question);
        }
    }

    fn answer(&mut self) {
        while let Some(entry) = self.answers.first_entry() {
            if entry.key().0 > self.fixture.now.at {
                break;
            }
            let question = entry.remove();
            let granted = question.workers.iter().cloned();
            let granted = granted.map(|worker| (worker, "permit".to_owned()));
            let answer = PolicyAnswer {
                granted: granted.collect(),
                validity_ms: Some(VALIDITY_MS),
            };
            let (now, sent_at) = (self.fixture.now, question.decided_at);
            let term = &mut self.fixture.term;
            let next = term.handle_policy_answer(&question, sent_at, Ok(answer), now);
            self.add_questions(next);
        }
    }
}

fn room(workers: usize, members: usize, occupied: usize, free_interval_ms: u64) -> Room {
    Room {
        workers,
        members,
        occupied,
        free_interval: Duration::from_millis(free_interval_ms),
        hosts: 40,
    }
}

/// Guards against a gang on more workers than one question names that holds all of its room and never
/// starts: its permits were renewed one question after the other, and those of the first expired
/// before the last answer (LOST on tuul-orders-large, issue 48).
#[test]
fn gangs_of_any_width_start_within_one_answer_of_having_room() {
    let rooms = [
        room(5, 5, 0, 0),
        room(90, 90, 90, 60),
        room(110, 110, 110, 60),
        room(160, 152, 0, 0),
        room(160, 152, 60, 100),
        room(160, 152, 60, 200),
        room(300, 152, 200, 60),
        room(300, 200, 150, 100),
        room(450, 400, 300, 20),
    ];
    let mut broken = Vec::new();
    for room in rooms {
        let mut cell = Cell::new(&room);
        let latest = room.whole_after() + LONGEST_ANSWER + PASS_DELAY;
        let started = cell.run(Duration::from_secs(30));
        println!(
            "{room:?}: room for all after {:?}, started after {started:?}, {} questions about {} workers",
            room.whole_after(),
            cell.questions,
            cell.asked_workers
        );
        if started.is_none_or(|started| started > latest) {
            broken.push((room, started));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
