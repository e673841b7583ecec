//! Tests of the renewal of the permits of gangs that have gathered their room.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::fixture::{Fixture, stage, task};
use crate::ids::WorkerId;
use crate::protocol::caller::Urgency;
use crate::resources::Resources;
use crate::scheduling::ledger::{Allocation, Purpose};
use crate::workflow::calls::{CallFailure, PolicyAnswer};
use crate::workflow::placer::policy::Question;
use crate::workflow::placer::term::LiveStage;
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
    /// Number of the question that gets no answer.
    lost_question: Option<usize>,
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
            lost_question: None,
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
        self.fixture.contact_entry_hosts(self.hosts);
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
            let ((_, number), question) = entry.remove_entry();
            let granted = question.workers.iter().cloned();
            let granted = granted.map(|worker| (worker, "permit".to_owned()));
            let answer = PolicyAnswer {
                granted: granted.collect(),
                validity_ms: Some(VALIDITY_MS),
            };
            let answer = if self.lost_question == Some(number) {
                Err(CallFailure::NoAnswer("lost".to_owned()))
            } else {
                Ok(answer)
            };
            let (now, sent_at) = (self.fixture.now, question.decided_at);
            let term = &mut self.fixture.term;
            let next = term.handle_policy_answer(&question, sent_at, answer, now);
            self.add_questions(next);
        }
    }

    fn gang(&self) -> &LiveStage {
        &self.fixture.term.stages[&task(0).stage]
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

/// Guards against a gang that starts late or never when too few hosts are free for all of its
/// questions at the same time: the permits of the first question lapse before the last answer.
#[test]
fn a_gang_starts_after_two_answers_of_the_only_caller() {
    // Slow questions are asked by half of the hosts.
    let room = Room {
        hosts: 2,
        ..room(160, 152, 60, 100)
    };
    let mut cell = Cell::new(&room);
    let started = cell.run(Duration::from_secs(30));
    let latest = room.whole_after() + 2 * LONGEST_ANSWER + PASS_DELAY;
    assert!(
        started.is_some_and(|started| started <= latest),
        "{started:?}"
    );
    assert_eq!((cell.questions, cell.asked_workers), (2, 152));
}

/// Guards against a gang that never starts once an answer is lost: the permits of the other answers
/// lapse before the question is repeated.
#[test]
fn a_gang_starts_although_an_answer_is_lost() {
    let room = room(160, 152, 60, 100);
    let mut cell = Cell::new(&room);
    cell.lost_question = Some(2);
    let started = cell.run(Duration::from_secs(30));
    let latest = room.whole_after() + 4 * LONGEST_ANSWER + PASS_DELAY;
    assert!(
        started.is_some_and(|started| started <= latest),
        "{started:?}"
    );
}

/// Guards against a gang that holds the room of half a cell for ever, since the hosts that can call
/// the policy are too few for all of its permits to be valid at the same time.
#[test]
fn a_gang_that_cannot_start_gives_its_room_back_until_it_can() {
    let few_hosts = Room {
        hosts: 2,
        ..room(320, 300, 0, 0)
    };
    let mut cell = Cell::new(&few_hosts);
    let started = cell.run(4 * LONGEST_ANSWER + 2 * PASS_DELAY);
    assert_eq!((started, cell.gang().reserved_tasks()), (None, 0));
    // Questions that cannot succeed are not asked.
    assert_eq!(cell.questions, 0);
    cell.hosts = few_hosts.hosts + 10;
    let started = cell.run(5 * LONGEST_ANSWER + 2 * PASS_DELAY);
    assert!(started.is_some());
}

/// Guards against a gang that spends questions for ever on permits that lapse before they can be used.
#[test]
fn a_gang_whose_permits_are_too_short_gives_its_room_back() {
    let mut cell = Cell::new(&room(160, 152, 0, 0));
    let configuration = cell.fixture.term.state.jobs.values_mut();
    for job in configuration {
        let policy = job.queue.placement_policy.as_mut();
        policy.expect("the queue has a policy").validity_ms = 500;
    }
    assert_eq!(cell.run(4 * LONGEST_ANSWER + 2 * PASS_DELAY), None);
    assert_eq!((cell.gang().reserved_tasks(), cell.questions), (0, 0));
}
