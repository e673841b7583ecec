//! Threads of this process by name.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval of the counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

/// Threads of this process with a name.
pub fn count(name: &str) -> usize {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let names = tasks.flatten().filter_map(|task| {
        // A thread may end between the two reads.
        fs::read_to_string(task.path().join("comm")).ok()
    });
    names.filter(|own| own.trim_end() == name).count()
}

/// Counts threads of a name until it is asked for the largest number.
pub struct Watch {
    stopping: Arc<AtomicBool>,
    most: Arc<AtomicUsize>,
    counting: JoinHandle<()>,
}

impl Watch {
    pub fn start(name: &'static str) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let most = Arc::new(AtomicUsize::new(0));
        let (stop, largest) = (Arc::clone(&stopping), Arc::clone(&most));
        let counting = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                largest.fetch_max(count(name), Ordering::AcqRel);
                thread::sleep(COUNT_INTERVAL);
            }
        });
        Self {
            stopping,
            most,
            counting,
        }
    }

    /// Most threads at any count.
    pub fn finish(self) -> usize {
        self.stopping.store(true, Ordering::Release);
        self.counting.join().unwrap();
        self.most.load(Ordering::Acquire)
    }
}
