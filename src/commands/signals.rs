//! Signals that ask a service to end or to read its settings again.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals that have arrived since they were registered.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes SIGTERM, SIGINT and SIGHUP, which end the process no longer by themselves.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
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

    /// Whether the process is asked to end.
    pub fn terminated(&self) -> bool {
        self.terminate.load(Ordering::Acquire)
    }

    /// Whether the settings are to be read again; true once for each request.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::AcqRel)
    }
}
