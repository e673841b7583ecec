//! Tests that room does not stay free while accepted work waits that fits it.

use super::fixture::{Fixture, stage};

/// Guards against a report that counts room which no waiting task can use, or misses room that one
/// can.
#[test]
fn room_counts_as_idle_only_while_a_task_fits_it() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    fixture.announce("b");
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 0);
    fixture.submit_without_pass("00000000000000a1", vec![stage(3)]);
    let idle = fixture.term.idle_room(fixture.now);
    assert_eq!((idle.total_millis(), idle.other_millis), (3_000, 3_000));
    fixture.term.schedule(fixture.now);
    assert_eq!(fixture.term.idle_room(fixture.now).total_millis(), 0);
    let mut gang = stage(6);
    gang.gang = true;
    fixture.submit_without_pass("00000000000000a2", vec![gang.clone()]);
    assert_eq!(
        fixture.term.idle_room(fixture.now).total_millis(),
        0,
        "the gang does not fit whole"
    );
    gang.task_count = 5;
    fixture.submit_without_pass("00000000000000a3", vec![gang]);
    let idle = fixture.term.idle_room(fixture.now);
    assert_eq!((idle.total_millis(), idle.gang_millis), (5_000, 5_000));
}
