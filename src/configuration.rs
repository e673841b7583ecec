//! Configuration of a cell: defaults, exceptions, teams, tokens and drains, with an audit trail.
//!
//! The state machine is deterministic: its state depends on the committed commands only. The
//! ranges of policy figures are checked before a command is proposed and not when it is applied,
//! because hosts of different releases may know different figures and must still reach equal
//! states.

pub mod audit;
pub mod change;
pub mod content;
pub mod digest;
pub mod figures;
pub mod identity;
pub mod log;
pub mod machine;
pub mod policy;
pub mod request_policy;
pub mod scope;
pub mod snapshot;
#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;

use crate::clock::Clock;
use audit::{AuditEntry, AuditFault};
use change::{ChangeOutcome, Command};
use digest::Sha256Digest;
use machine::{ConfigurationMachine, Preview, RestoreError};
use snapshot::ConfigurationSnapshot;

/// The configuration that one host has applied.
pub struct Configuration {
    machine: Mutex<ConfigurationMachine>,
    /// Replaced while `machine` is locked, so that the published version never decreases.
    published: ArcSwap<ConfigurationSnapshot>,
    operator_token: Option<Sha256Digest>,
    clock: Clock,
}

impl Configuration {
    /// Creates an empty configuration. `operator_token` is the digest of the operator token from
    /// the settings.
    pub fn new(operator_token: Option<Sha256Digest>, clock: Clock) -> Arc<Self> {
        let machine = ConfigurationMachine::default();
        let initial = ConfigurationSnapshot::new(machine.content(), operator_token, clock.now());
        Arc::new(Self {
            machine: Mutex::new(machine),
            published: ArcSwap::from_pointee(initial),
            operator_token,
            clock,
        })
    }

    /// Returns the latest applied configuration without taking a lock.
    pub fn read(&self) -> Arc<ConfigurationSnapshot> {
        self.published.load_full()
    }

    /// Applies a committed command and returns the encoded [`ChangeOutcome`].
    pub fn apply(&self, command: &[u8]) -> Vec<u8> {
        let mut machine = self.lock_machine();
        let output = machine.apply(command);
        self.publish(&machine);
        output
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Returns [`RestoreError::Damaged`] when the encoder fails.
    pub fn snapshot(&self) -> Result<Vec<u8>, RestoreError> {
        self.lock_machine().snapshot()
    }

    /// Replaces the state by the one in an encoded snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`RestoreError`] when the snapshot is damaged or older than the current state; the
    /// current state stays in effect.
    pub fn restore(&self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restored = ConfigurationMachine::restore(snapshot)?;
        let mut machine = self.lock_machine();
        if restored.version() < machine.version() {
            return Err(RestoreError::Older {
                offered: restored.version(),
                applied: machine.version(),
            });
        }
        *machine = restored;
        self.publish(&machine);
        Ok(())
    }

    /// Returns the stored outcome of a change id, or `None` when the id is unknown or its outcome
    /// is no longer kept.
    pub fn outcome(&self, change_id: &str) -> Option<ChangeOutcome> {
        self.lock_machine().outcome(change_id).cloned()
    }

    /// Returns the outcome and the effect that a command would have now, without applying it.
    pub fn preview(&self, command: &Command) -> Preview {
        self.lock_machine().preview(command)
    }

    /// Returns the latest `limit` audit entries that `filter` accepts, oldest first.
    pub fn audit(&self, limit: usize, filter: impl Fn(&AuditEntry) -> bool) -> Vec<AuditEntry> {
        let machine = self.lock_machine();
        let mut entries: Vec<AuditEntry> = Vec::new();
        for entry in machine.trail().entries().rev() {
            if entries.len() == limit {
                break;
            }
            if filter(entry) {
                entries.push(entry.clone());
            }
        }
        entries.reverse();
        entries
    }

    /// Checks the audit chain and returns the number of entries.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the chain.
    pub fn verify_audit(&self) -> Result<usize, AuditFault> {
        self.lock_machine().trail().verify()
    }

    fn lock_machine(&self) -> MutexGuard<'_, ConfigurationMachine> {
        // A panic cannot leave a partly applied change, since the content is replaced as a whole.
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, machine: &ConfigurationMachine) {
        if Arc::ptr_eq(&machine.content(), self.published.load().content()) {
            return;
        }
        let now = self.clock.now();
        let next = ConfigurationSnapshot::new(machine.content(), self.operator_token, now);
        self.published.store(Arc::new(next));
    }
}
