//! Bounds, refusals and cancellation of the request queue.

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

struct Bench {
    queue: RequestQueue,
    now: Instant,
    sent: usize,
}

impl Bench {
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

    /// Starts and finishes requests one after another, so that execution times are known.
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

/// Guards against a full queue that keeps out members below their share: it drops the least urgent
/// request of the member with the largest backlog for its weight, and reports it.
#[test]
fn a_full_queue_drops_the_worst_request_of_the_worst_member() {
    // Backlogs (member, urgency, count), the newcomer, and the member that loses a request.
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
        let mut bench = Bench::new(10, RequestPolicy::default());
        for (member, urgency, count) in &backlogs {
            for _ in 0..*count {
                assert!(bench.admit(member, *urgency));
            }
        }
        assert_eq!(
            bench.admit(member, urgency),
            loser.is_some(),
            "{backlogs:?}"
        );
        assert_eq!(bench.queue.len(), 10);
        let dropped = bench.queue.take_dropped();
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
/// without a usable retry-after, and against refusing work that can still be done.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut bench = Bench::new(1_000, RequestPolicy::default());
    bench.execute("member", 20);
    bench.now += Duration::from_secs(2);
    for _ in 0..200 {
        assert!(bench.admit("member", Urgency::Normal));
    }
    // Four slots of 100 ms serve 40 requests per second, so 200 requests take 5 s.
    let late = bench.request("member", Urgency::Normal, Duration::from_secs(4));
    let error = bench.queue.admit(late, bench.now).unwrap_err();
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
        let request = bench.request(member, urgency, Duration::from_secs(timeout));
        assert!(
            bench.queue.admit(request, bench.now).is_ok(),
            "{member} {urgency}"
        );
    }
}

/// Guards against a standing delay that every later request has to wait through, and against
/// shedding the requests of another member for it.
#[test]
fn a_standing_delay_sheds_requests_of_its_member_only() {
    let mut bench = Bench::new(10_000, RequestPolicy::default());
    bench.execute("flood", 20);
    let mut shed = Vec::new();
    let mut refused_late = 0;
    for step in 0..200 {
        for _ in 0..4 {
            let refused = !bench.admit("flood", Urgency::Normal);
            refused_late += usize::from(refused && step >= 150);
        }
        if step % 2 == 0 {
            assert!(bench.admit("calm", Urgency::Normal), "step {step}");
        }
        let selection = bench.queue.next(SERVICE, bench.now);
        shed.extend(selection.refused);
        let chosen = selection.chosen.expect("a request waits");
        let started_at = bench.now;
        bench.now += WORK;
        bench.queue.finished(&chosen, started_at, bench.now);
    }
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|(request, _)| request.member == "flood"));
    // Of four requests per step at most one can be served.
    assert!(refused_late >= 50 * 3 - 10, "{refused_late} refused");
}

/// Guards against cancelled requests that run, count against bounds or pile up in memory.
#[test]
fn cancelled_requests_are_gone() {
    let mut bench = Bench::new(100, RequestPolicy::default());
    for round in 0..50 {
        let requests: Vec<QueuedRequest> = (0..100)
            .map(|index| {
                let member = format!("member-{}", index % 3);
                bench.request(&member, Urgency::Normal, Duration::from_secs(60))
            })
            .collect();
        for request in &requests {
            let admitted = bench.queue.admit(request.clone(), bench.now);
            assert!(admitted.is_ok(), "round {round}: {admitted:?}");
        }
        for request in &requests {
            assert!(bench.queue.cancel(&request.key));
            assert!(!bench.queue.cancel(&request.key));
        }
        assert!(bench.queue.is_empty());
    }
    assert!(bench.queue.next(SERVICE, bench.now).chosen.is_none());
}

/// Guards against a dropped request whose thread waits for ever for a slot.
#[test]
fn a_dropped_request_can_be_cancelled() {
    let mut bench = Bench::new(1, RequestPolicy::default());
    assert!(bench.admit("member", Urgency::Low));
    assert!(bench.admit("member", Urgency::Urgent));
    assert!(bench.queue.cancel("member-1"));
    assert!(bench.queue.take_dropped().is_empty());
}

/// Guards against a second execution of a key that is in a slot already.
#[test]
fn a_running_key_is_not_admitted_again() {
    let mut bench = Bench::new(10, RequestPolicy::default());
    let request = bench.request("member", Urgency::Normal, WORK);
    bench.queue.admit(request.clone(), bench.now).unwrap();
    let duplicate = bench.queue.admit(request.clone(), bench.now).unwrap_err();
    assert_eq!(duplicate.verdict, Verdict::DidNotRun);
    assert!(bench.queue.next(SERVICE, bench.now).chosen.is_some());
    let duplicate = bench.queue.admit(request, bench.now).unwrap_err();
    assert_eq!(duplicate.verdict, Verdict::MayHaveRun);
}

/// Guards against a member that keeps idle slots which it borrowed: once another member sends
/// requests, the next released slots are theirs until both have their shares.
#[test]
fn borrowed_slots_are_handed_back_quickly() {
    let mut bench = Bench::new(1_000, RequestPolicy::default());
    for _ in 0..500 {
        assert!(bench.admit("borrower", Urgency::Urgent));
    }
    let mut running = Vec::new();
    for _ in 0..4 {
        running.extend(bench.queue.next(SERVICE, bench.now).chosen);
    }
    assert_eq!(running.len(), 4, "idle slots are borrowed");
    for _ in 0..10 {
        assert!(bench.admit("owner", Urgency::Low));
    }
    for released in &running[..2] {
        let started_at = bench.now;
        bench.now += WORK;
        bench.queue.finished(released, started_at, bench.now);
        let chosen = bench.queue.next(SERVICE, bench.now).chosen;
        assert_eq!(chosen.expect("both wait").member, "owner");
    }
}

/// Guards against retries that multiply the load of a failing runner or of one member.
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
