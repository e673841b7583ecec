//! Defaults, exceptions, teams, tokens and drains of the cell, with their audit trail.
//!
//! The state machine is deterministic: it depends on the committed commands only. The ranges of
//! policy figures are checked before a command is proposed and not when it is applied, because
//! hosts of different releases may know different figures and must still reach equal states.

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

/// The configuration as one host has applied it.
pub struct Configuration {
    machine: Mutex<ConfigurationMachine>,
    /// Replaced while `machine` is locked, so that its version only grows.
    published: ArcSwap<ConfigurationSnapshot>,
    operator_token: Option<Sha256Digest>,
    clock: Clock,
}

impl Configuration {
    /// An empty configuration; `operator_token` is the hash from the settings.
    pub fn new(operator_token: Option<Sha256Digest>, clock: Clock) -> Arc<Self> {
        let machine = ConfigurationMachine::default();
        let first = ConfigurationSnapshot::new(machine.content(), operator_token, clock.now());
        Arc::new(Self {
            machine: Mutex::new(machine),
            published: ArcSwap::from_pointee(first),
            operator_token,
            clock,
        })
    }

    /// The present configuration. Takes no lock.
    pub fn read(&self) -> Arc<ConfigurationSnapshot> {
        self.published.load_full()
    }

    /// Applies a committed command and returns the encoded [`ChangeOutcome`].
    pub fn apply(&self, command: &[u8]) -> Vec<u8> {
        let mut machine = self.machine();
        let output = machine.apply(command);
        self.publish(&machine);
        output
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// The fault that the encoder reports.
    pub fn snapshot(&self) -> Result<Vec<u8>, RestoreError> {
        self.machine().snapshot()
    }

    /// Replaces the state by an encoded one.
    ///
    /// # Errors
    ///
    /// [`RestoreError`] when it is damaged or older than the present state; the present state
    /// stays in effect.
    pub fn restore(&self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restored = ConfigurationMachine::restore(snapshot)?;
        let mut machine = self.machine();
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

    /// Outcome of a change that was applied before.
    pub fn outcome(&self, change_id: &str) -> Option<ChangeOutcome> {
        self.machine().outcome(change_id).cloned()
    }

    /// What a command would do now.
    pub fn preview(&self, command: &Command) -> Preview {
        self.machine().preview(command)
    }

    /// The latest audit entries for which `wanted` holds, oldest first.
    pub fn audit(&self, limit: usize, wanted: impl Fn(&AuditEntry) -> bool) -> Vec<AuditEntry> {
        let machine = self.machine();
        let mut entries: Vec<AuditEntry> = Vec::new();
        for entry in machine.trail().entries().rev() {
            if entries.len() == limit {
                break;
            }
            if wanted(entry) {
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
    /// The first fault of the chain.
    pub fn verify_audit(&self) -> Result<usize, AuditFault> {
        self.machine().trail().verify()
    }

    fn machine(&self) -> MutexGuard<'_, ConfigurationMachine> {
        // A panic cannot leave a half-applied change: content is replaced as a whole.
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
