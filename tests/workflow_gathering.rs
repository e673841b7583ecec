//! Tests of the choice of the gangs that gather room.

use jujubewinch::workflow::decisions::reservations::{
    ReservationSlots, WaitingGang, choose_gathering,
};
use jujubewinch::workflow::decisions::size_shares::{SizeBand, SizeShares};

const PRIORITY: u32 = 1;

fn gang(room_millis: u64) -> WaitingGang {
    WaitingGang {
        band: SizeBand::new(PRIORITY, room_millis),
        missing_millis: room_millis,
        in_time: true,
        gathers: false,
    }
}

fn choose(gangs: &[WaitingGang], shares: &SizeShares) -> Vec<bool> {
    choose_gathering(gangs, ReservationSlots::default(), shares)
}

/// Guards against a gang that loses its place to newer ones before it has gathered its room: one
/// question takes longer than it takes three newer gangs to arrive (SHORT on tuul-orders-large).
#[test]
fn a_gang_that_gathers_room_goes_on_when_newer_ones_arrive() {
    let mut gangs = vec![gang(10_000); 6];
    gangs[5].gathers = true;
    let chosen = choose(&gangs, &SizeShares::default());
    assert_eq!(chosen, [true, true, false, false, false, true]);
}

/// Guards against a late gang that keeps a slot which a gang in time needs.
#[test]
fn late_gangs_get_the_slots_that_are_left() {
    let mut gangs = vec![gang(10_000); 4];
    gangs[0].gathers = true;
    gangs[0].in_time = false;
    let chosen = choose(&gangs, &SizeShares::default());
    assert_eq!(chosen, [false, true, true, true]);
    let chosen = choose(&gangs[..2], &SizeShares::default());
    assert_eq!(chosen, [true, true]);
}

/// Guards against an overload at the expense of one size: the slots went to the newest gangs, most
/// of which are narrow.
#[test]
fn the_size_that_is_placed_least_gathers_first() {
    let mut shares = SizeShares::default();
    for _ in 0..10 {
        shares.record_placed(gang(10_000).band);
        shares.record_given_up(gang(400_000).band);
    }
    let mut gangs = vec![gang(10_000); 6];
    gangs.extend(vec![gang(400_000); 4]);
    let chosen = choose(&gangs, &shares);
    assert_eq!(chosen.iter().filter(|chosen| **chosen).count(), 3);
    assert!(chosen[6] && chosen[7], "{chosen:?}");
}

/// Guards against slots whose number does not follow the cell, and against gangs that gather room in
/// all of it.
#[test]
fn the_slots_follow_the_room_of_the_cell() {
    let slots = |capacity_millis, free_millis| {
        let mut slots = ReservationSlots::new(capacity_millis, free_millis);
        (0..1_000)
            .take_while(|_| slots.claim(PRIORITY, 10_000))
            .count()
    };
    assert_eq!(slots(50_000, 0), 3);
    assert_eq!(slots(1_000_000, 0), 30);
    assert_eq!(slots(1_000_000, 500_000), 80);
}
