//! Limits, refusals and cancellation of the request queue, and the retry budget.

use std::time::{Duration, Instant};

use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::request_queue::policy::{
    RequestPolicy, RequestPolicyName, same_policy,
};
use jujubewinch::scheduling::request_queue::{QueuedRequest, RequestQueue};
use jujubewinch::scheduling::retry_budget::RetryBudget;
use jujubewinch::verdict::{ErrorCode, Verdict};

const SERVICE: &str = "quotes";
const WORK: Duration = Duration::from_millis(100);

struct QueueFixture {
    queue: RequestQueue,
    now: Instant,
    sent: usize,
}

impl QueueFixture {
    fn new(max_queued: usize, policy: RequestPolicy) -> Self {
        let mut queue =
            RequestQueue::with_policy(max_queued, RequestPolicyName::Fair, same_policy(policy));
        queue.set_slots(SERVICE, 4);
        Self {
            queue,
            now: Instant::now(),
            sent: 0,
        }
    }

    fn request(&mut self, member: &str, urgency: Urgency, timeout: Duration) -> QueuedRequest {
        self.sent += 1;
        QueuedRequest {
            key: format!("{member}-{}", self.sent),
            member: member.to_owned(),
            caller: "caller".to_owned(),
            service: SERVICE.to_owned(),
            urgency,
            deadline: self.now + timeout,
            admitted_at: self.now,
        }
    }

    fn admit(&mut self, member: &str, urgency: Urgency) -> bool {
        let request = self.request(member, urgency, Duration::from_secs(3_600));
        self.queue.admit(request, self.now).is_ok()
    }

    /// Starts and finishes requests one after another, so that the queue learns execution times.
    fn execute(&mut self, member: &str, requests: usize) {
        for _ in 0..requests {
            assert!(self.admit(member, Urgency::Normal));
            let chosen = self.queue.next(SERVICE, self.now).chosen;
            let (started_at, chosen) = (self.now, chosen.expect("a request waits"));
            self.now += WORK;
            self.queue.finished(&chosen, started_at, self.now);
        }
    }
}

/// Guards against a full queue that refuses members below their share. The queue must drop the least
/// urgent request of the member with the largest backlog relative to its weight, and report it.
#[test]
fn a_full_queue_drops_the_least_urgent_request_of_the_largest_backlog() {
    // Backlogs (member, urgency, count), the new request, and the member whose request is dropped.
    let cases = [
        (
            vec![("flood", Urgency::Low, 9), ("calm", Urgency::Normal, 1)],
            ("calm", Urgency::Normal),
            Some("flood"),
        ),
        (
            vec![("flood", Urgency::Urgent, 9), ("calm", Urgency::Normal, 1)],
            ("calm", Urgency::Low),
            Some("flood"),
        ),
        (
            vec![("flood", Urgency::Low, 9), ("calm", Urgency::Normal, 1)],
            ("flood", Urgency::Low),
            None,
        ),
        (
            vec![("flood", Urgency::Low, 9), ("calm", Urgency::Normal, 1)],
            ("flood", Urgency::Urgent),
            Some("flood"),
        ),
        (
            vec![("one", Urgency::Normal, 5), ("two", Urgency::Normal, 5)],
            ("one", Urgency::Normal),
            None,
        ),
    ];
    for (backlogs, (member, urgency), loser) in cases {
        let mut fixture = QueueFixture::new(10, RequestPolicy::default());
        for (member, urgency, count) in &backlogs {
            for _ in 0..*count {
                assert!(fixture.admit(member, *urgency));
            }
        }
        assert_eq!(
            fixture.admit(member, urgency),
            loser.is_some(),
            "{backlogs:?}"
        );
        assert_eq!(fixture.queue.len(), 10);
        let dropped = fixture.queue.take_dropped();
        let dropped_of = dropped.first().map(|(request, _)| request.member.as_str());
        assert_eq!(dropped_of, loser, "{backlogs:?}");
        assert!(
            dropped
                .iter()
                .all(|(_, code)| *code == ErrorCode::Overloaded)
        );
    }
}

/// Guards against requests that wait although they cannot meet their deadline, against refusals
/// without a usable retry-after, and against refusals of requests that can meet their deadline.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut fixture = QueueFixture::new(1_000, RequestPolicy::default());
    fixture.execute("member", 20);
    fixture.now += Duration::from_secs(2);
    for _ in 0..200 {
        assert!(fixture.admit("member", Urgency::Normal));
    }
    // Four slots of 100 ms serve 40 requests per second, so 200 requests take 5 s.
    let late = fixture.request("member", Urgency::Normal, Duration::from_secs(4));
    let error = fixture.queue.admit(late, fixture.now).unwrap_err();
    assert_eq!(
        (error.verdict, error.code),
        (Verdict::DidNotRun, ErrorCode::Overloaded)
    );
    let retry_after_ms = error.retry_after_ms.expect("a refusal has a retry-after");
    assert!(
        (3_500..=4_500).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    for (member, urgency, timeout) in [
        ("member", Urgency::Normal, 6),
        ("member", Urgency::Urgent, 1),
        ("another", Urgency::Normal, 1),
    ] {
        let request = fixture.request(member, urgency, Duration::from_secs(timeout));
        assert!(
            fixture.queue.admit(request, fixture.now).is_ok(),
            "{member} {urgency}"
        );
    }
}

/// Guards against a standing queue whose delay affects every later request, and against shedding the
/// requests of members that did not cause it.
#[test]
fn a_standing_delay_sheds_requests_of_its_member_only() {
    let mut fixture = QueueFixture::new(10_000, RequestPolicy::default());
    fixture.execute("flood", 20);
    let mut shed = Vec::new();
    let mut refused_late = 0;
    for step in 0..200 {
        for _ in 0..4 {
            let refused = !fixture.admit("flood", Urgency::Normal);
            refused_late += usize::from(refused && step >= 150);
        }
        if step % 2 == 0 {
            assert!(fixture.admit("calm", Urgency::Normal), "step {step}");
        }
        let selection = fixture.queue.next(SERVICE, fixture.now);
        shed.extend(selection.refused);
        let chosen = selection.chosen.expect("a request waits");
        let started_at = fixture.now;
        fixture.now += WORK;
        fixture.queue.finished(&chosen, started_at, fixture.now);
    }
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|(request, _)| request.member == "flood"));
    // Of four requests per step at most one can be served.
    assert!(refused_late >= 50 * 3 - 10, "{refused_late} refused");
}

/// Guards against cancelled requests that run, count against limits or accumulate in memory.
#[test]
fn cancelled_requests_are_removed() {
    let mut fixture = QueueFixture::new(100, RequestPolicy::default());
    for round in 0..50 {
        let requests: Vec<QueuedRequest> = (0..100)
            .map(|index| {
                let member = format!("member-{}", index % 3);
                fixture.request(&member, Urgency::Normal, Duration::from_secs(60))
            })
            .collect();
        for request in &requests {
            let admitted = fixture.queue.admit(request.clone(), fixture.now);
            assert!(admitted.is_ok(), "round {round}: {admitted:?}");
        }
        for request in &requests {
            assert!(fixture.queue.cancel(&request.key));
            assert!(!fixture.queue.cancel(&request.key));
        }
        assert!(fixture.queue.is_empty());
    }
    assert!(fixture.queue.next(SERVICE, fixture.now).chosen.is_none());
}

/// Guards against a dropped request whose thread waits forever for a slot.
#[test]
fn a_dropped_request_can_be_cancelled() {
    let mut fixture = QueueFixture::new(1, RequestPolicy::default());
    assert!(fixture.admit("member", Urgency::Low));
    assert!(fixture.admit("member", Urgency::Urgent));
    assert!(fixture.queue.cancel("member-1"));
    assert!(fixture.queue.take_dropped().is_empty());
}

/// Guards against a second execution of a key that already occupies a slot.
#[test]
fn a_running_key_is_not_admitted_again() {
    let mut fixture = QueueFixture::new(10, RequestPolicy::default());
    let request = fixture.request("member", Urgency::Normal, WORK);
    fixture.queue.admit(request.clone(), fixture.now).unwrap();
    let duplicate = fixture
        .queue
        .admit(request.clone(), fixture.now)
        .unwrap_err();
    assert_eq!(duplicate.verdict, Verdict::DidNotRun);
    assert!(fixture.queue.next(SERVICE, fixture.now).chosen.is_some());
    let duplicate = fixture.queue.admit(request, fixture.now).unwrap_err();
    assert_eq!(duplicate.verdict, Verdict::MayHaveRun);
}

/// Guards against a member that keeps borrowed slots. Once another member sends requests, the next
/// released slots must go to it until both have their shares.
#[test]
fn borrowed_slots_are_returned_as_they_are_released() {
    let mut fixture = QueueFixture::new(1_000, RequestPolicy::default());
    for _ in 0..500 {
        assert!(fixture.admit("borrower", Urgency::Urgent));
    }
    let mut running = Vec::new();
    for _ in 0..4 {
        running.extend(fixture.queue.next(SERVICE, fixture.now).chosen);
    }
    assert_eq!(running.len(), 4, "idle slots are borrowed");
    for _ in 0..10 {
        assert!(fixture.admit("owner", Urgency::Low));
    }
    for released in &running[..2] {
        let started_at = fixture.now;
        fixture.now += WORK;
        fixture.queue.finished(released, started_at, fixture.now);
        let chosen = fixture.queue.next(SERVICE, fixture.now).chosen;
        assert_eq!(chosen.expect("both wait").member, "owner");
    }
}

/// Guards against retries that multiply the load on a failing runner or from one member.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    for (member, runner) in [("a", "r1"), ("b", "r1"), ("c", "r2")] {
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.record_request(member, runner);
            retries += usize::from(budget.try_retry(member, runner));
        }
        assert!(
            (90..=101).contains(&retries),
            "{member} on {runner}: {retries}"
        );
    }
    // A runner whose budget is used up refuses retries of a member with budget left.
    for _ in 0..1_000 {
        budget.record_request("d", "r3");
    }
    while budget.try_retry("d", "r4") {}
    assert!(!budget.try_retry("d", "r4"));
    assert!(budget.try_retry("d", "r3"));
}
