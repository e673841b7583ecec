//! Signals that terminate a service or make it reload its settings.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals that have arrived since their handlers were installed.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP, which then no longer end the process by
    /// default.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if a handler cannot be installed.
    pub fn register() -> io::Result<Self> {
        let signals = Self {
            terminate: Arc::default(),
            reload: Arc::default(),
        };
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.terminate))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Whether SIGTERM or SIGINT has arrived.
    pub fn terminated(&self) -> bool {
        self.terminate.load(Ordering::Acquire)
    }

    /// Whether SIGHUP has arrived since the last call; several signals count as one.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::AcqRel)
    }
}
