//! Counts the threads of this process that have a given name.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

/// Number of threads of this process with this name.
pub fn count(name: &str) -> usize {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let names = tasks.flatten().filter_map(|task| {
        // A thread may end between the listing and the read.
        fs::read_to_string(task.path().join("comm")).ok()
    });
    names.filter(|thread| thread.trim_end() == name).count()
}

/// Counts the threads with one name in the background and keeps the largest count.
pub struct ThreadMonitor {
    stopping: Arc<AtomicBool>,
    max_count: Arc<AtomicUsize>,
    counting: JoinHandle<()>,
}

impl ThreadMonitor {
    pub fn start(name: &'static str) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let max_count = Arc::new(AtomicUsize::new(0));
        let (stop, largest) = (Arc::clone(&stopping), Arc::clone(&max_count));
        let counting = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                largest.fetch_max(count(name), Ordering::AcqRel);
                thread::sleep(COUNT_INTERVAL);
            }
        });
        Self {
            stopping,
            max_count,
            counting,
        }
    }

    /// Stops counting and returns the largest count.
    pub fn finish(self) -> usize {
        self.stopping.store(true, Ordering::Release);
        self.counting.join().unwrap();
        self.max_count.load(Ordering::Acquire)
    }
}
