//! Malformed messages: arbitrary bytes, damaged messages and gaps between entries.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::harness::Cluster;
use crate::replication::log::{Entry, Payload};
use crate::replication::message::{ReplyEnvelope, Request, RequestEnvelope, decode, encode};
use crate::replication::state::State;

fn formed_cluster() -> Cluster {
    let mut cluster = Cluster::new(1, &[true, true, true], false);
    cluster.run_until("a leader", |cluster| cluster.leader().is_some());
    cluster
}

/// Returns the parts of the state that a malformed call must not change.
fn summary(state: &State<u64>) -> (u64, u64, u64, String) {
    let membership = format!("{:?}", state.log.membership());
    (
        state.hard_state.term,
        state.log.last_index(),
        state.commit,
        membership,
    )
}

/// Encodes an append to the receiver's log whose only entry has the given index.
fn append(state: &State<u64>, index: u64) -> Vec<u8> {
    let entry = Entry {
        index,
        term: state.hard_state.term,
        payload: Payload::Command(b"text".to_vec()),
    };
    encode(&RequestEnvelope {
        group: state.hard_state.group,
        from_incarnation: 1,
        to_incarnation: state.hard_state.incarnation,
        term: state.hard_state.term,
        body: Request::Append {
            prev_index: state.log.last_index(),
            prev_term: state.log.last_term(),
            commit: 0,
            entries: vec![entry],
        },
    })
}

fn configuration() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(configuration())]

    /// Guards against a panic or a change of state caused by bytes that are not a message.
    #[test]
    fn arbitrary_bytes_are_rejected(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 50),
    ) {
        let mut cluster = formed_cluster();
        let now = cluster.now;
        let state = cluster.nodes[1].state.as_mut().unwrap();
        let before = summary(state);
        for bytes in messages {
            let reply = state.handle("a", &bytes, now);
            prop_assert!(decode::<ReplyEnvelope>(&reply).is_some());
            prop_assert_eq!(summary(state), before.clone());
        }
    }
}

/// Guards against a panic caused by a truncated or changed message.
#[test]
fn damaged_appends_do_not_crash() {
    let mut cluster = formed_cluster();
    let now = cluster.now;
    let state = cluster.nodes[1].state.as_mut().unwrap();
    let bytes = append(state, state.log.last_index() + 1);
    for length in 0..bytes.len() {
        assert!(decode::<RequestEnvelope>(&bytes[..length]).is_none());
        let mut damaged = bytes.clone();
        damaged[length] ^= 0x55;
        state.handle("a", &damaged, now);
    }
}

/// Guards against accepting entries after a gap, which would shift the indexes of all later
/// entries.
#[test]
fn an_append_with_a_gap_is_rejected() {
    let mut cluster = formed_cluster();
    let now = cluster.now;
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    let state = cluster.nodes[follower].state.as_mut().unwrap();
    let before = summary(state);
    let bytes = append(state, state.log.last_index() + 2);
    state.handle("a", &bytes, now);
    assert_eq!(summary(state), before);
}
