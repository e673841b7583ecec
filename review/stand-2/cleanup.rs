//! Ends what a case has started when the case is stopped by a signal.

use std::path::PathBuf;
use std::process::{Command, exit};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const SIGNALS: [i32; 3] = [1, 2, 15];

static STOPPED: AtomicBool = AtomicBool::new(false);
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn on_signal(_: i32) {
    STOPPED.store(true, Ordering::Release);
}

/// Notes a process that has to end with this one.
pub fn note_process(id: u32) {
    PROCESSES.lock().unwrap().push(id);
}

/// Ends the noted processes and removes the folder when SIGHUP, SIGINT or SIGTERM arrives. The case could
/// not run then.
pub fn watch(folder: PathBuf) {
    for number in SIGNALS {
        // SAFETY: the handler only stores to an atomic.
        unsafe { signal(number, on_signal) };
    }
    thread::spawn(move || {
        while !STOPPED.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(50));
        }
        // Holding the lock keeps further processes from being started unnoted.
        let processes = PROCESSES.lock().unwrap();
        for id in processes.iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        thread::sleep(Duration::from_millis(200));
        let _ = std::fs::remove_dir_all(folder);
        exit(2);
    });
}
