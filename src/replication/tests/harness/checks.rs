//! Invariants that are checked after every step and at the end of a schedule.

use std::time::Duration;

use crossbeam::channel::TryRecvError;

use super::{Cluster, LONGEST_REOPEN};
use crate::replication::propose::ProposeError;
use crate::replication::state::Role;

impl Cluster {
    /// Checks the invariants that hold after every step.
    pub(super) fn check_invariants(&mut self) {
        for position in 0..self.nodes.len() {
            if self.nodes[position].state.is_some() {
                self.check_commands(position);
                self.check_commit(position);
                self.check_leader(position);
                self.check_lapses(position);
            }
        }
        self.check_leaderships();
        self.check_outcomes();
    }

    /// Checks that no two hosts lead at the same time, as after a transfer of the leadership.
    fn check_leaderships(&self) {
        let leading = self.nodes.iter().filter(|node| {
            let state = node.state.as_ref();
            state.is_some_and(|state| state.leadership(self.now).is_some())
        });
        let leading: Vec<&str> = leading.map(|node| node.host.as_str()).collect();
        assert!(leading.len() <= 1, "{leading:?} lead at the same time");
    }

    fn check_commands(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        let state = node.state.as_ref().unwrap();
        let image = node.image.as_ref();
        let disk_fails = image.is_some_and(|image| image.lock().unwrap().failure.is_some());
        // A paused host does not open its disk again before it resumes.
        let paused = node.paused_until.is_some_and(|until| self.now <= until);
        if disk_fails || (paused && node.fault_allowed_until.is_some()) {
            node.fault_allowed_until = Some(self.now + LONGEST_REOPEN);
        }
        if node
            .fault_allowed_until
            .is_none_or(|until| self.now > until)
        {
            assert_eq!(state.fault, None, "{} has failed", node.host);
        }
        assert!(
            state.applied >= node.checked.1,
            "an applied index decreased"
        );
        let applied = node.applied.lock().unwrap();
        for (place, command) in applied.iter().enumerate().skip(node.checked.0) {
            match self.committed_commands.get(place) {
                Some(known) => assert_eq!(command, known, "{} differs", node.host),
                None => self.committed_commands.push(command.clone()),
            }
        }
        node.checked = (applied.len(), state.applied);
    }

    fn check_commit(&mut self, position: usize) {
        let node = &self.nodes[position];
        let state = node.state.as_ref().unwrap();
        for index in state.log.base_index()..=state.commit {
            let Some(term) = state.log.term_at(index) else {
                continue;
            };
            let known = *self.committed_terms.entry(index).or_insert(term);
            assert_eq!(known, term, "a committed entry changed at {}", node.host);
        }
    }

    /// Users of the leadership drop their state when it lapses, so it must not return in a term.
    fn check_lapses(&mut self, position: usize) {
        let state = self.nodes[position].state.as_ref().unwrap();
        let term = state.hard_state.term;
        if self.leaders.get(&term) != Some(&self.nodes[position].host) {
            return;
        }
        if state.leadership(self.now).is_some() {
            let lapsed = *self.reported.entry(term).or_default();
            assert!(!lapsed, "the leadership of term {term} lapsed and returned");
        } else if let Some(lapsed) = self.reported.get_mut(&term) {
            *lapsed = true;
        }
    }

    fn check_leader(&mut self, position: usize) {
        let node = &self.nodes[position];
        let state = node.state.as_ref().unwrap();
        if state.role != Role::Leader {
            return;
        }
        let leads = state.leadership(self.now).is_some();
        assert!(node.may_lead || !leads, "a witness leads");
        let term = state.hard_state.term;
        if let Some(known) = self.leaders.get(&term) {
            assert_eq!(*known, node.host, "two leaders in term {term}");
            return;
        }
        self.leaders.insert(term, node.host.clone());
        let last = state.log.last_index();
        for (index, committed) in self.committed_terms.range(state.log.base_index()..) {
            assert!(*index <= last, "a leader lacks the committed entry {index}");
            let own = state.log.term_at(*index);
            assert_eq!(own, Some(*committed), "a leader lacks a committed entry");
        }
    }

    fn check_outcomes(&mut self) {
        let mut unresolved = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            match pending.outcome.try_recv() {
                Err(TryRecvError::Empty) => unresolved.push(pending),
                Err(TryRecvError::Disconnected) | Ok(Err(ProposeError::Unknown(_))) => {}
                Ok(Ok(committed)) => self.confirmed.push((committed.index, pending.command)),
                Ok(Err(_)) => self.refused.push(pending.command),
            }
        }
        self.pending = unresolved;
    }

    /// Removes all faults, then checks that the group commits commands, that all replicas become
    /// equal, and that no reported outcome was wrong.
    pub fn finish(&mut self) {
        self.heal();
        for position in 0..self.nodes.len() {
            self.start(position);
            self.nodes[position].paused_until = None;
        }
        self.run_until("all hosts vote", Self::all_hosts_vote);
        let confirmed = self.confirmed.len();
        while self.confirmed.len() == confirmed {
            self.run_until("a leader", |cluster| cluster.leader().is_some());
            let leader = self.leader().unwrap();
            self.propose(leader);
            self.run(Duration::from_millis(300));
        }
        self.run_until("all replicas are equal", |cluster| {
            cluster
                .nodes
                .iter()
                .all(|node| *node.applied.lock().unwrap() == cluster.committed_commands)
        });
        for confirmed in &self.confirmed {
            assert!(
                self.committed_commands.contains(confirmed),
                "a confirmed command is lost"
            );
        }
        for (_, command) in &self.committed_commands {
            assert!(
                !self.refused.contains(command),
                "a refused command was committed"
            );
        }
    }
}
