//! What was sent, answered and run, in a file and for the checks.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A run as the runners saw it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    started: Instant,
    pub ended: Option<(Instant, String)>,
}

/// Lines of the record, each with the seconds since the start of the case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<RunRecord>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3}  {text}", self.began.elapsed().as_secs_f64());
    }

    pub fn started(&self, task: &str, run: u64, runner: &str) {
        self.line(&format!("run starts  {task} run {run} on {runner}"));
        self.runs.lock().unwrap().push(RunRecord {
            task: task.to_owned(),
            run,
            started: Instant::now(),
            ended: None,
        });
    }

    pub fn ended(&self, task: &str, run: u64, how: &str) {
        self.line(&format!("run ends    {task} run {run}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .rev()
            .find(|it| it.task == task && it.run == run && it.ended.is_none());
        if let Some(found) = found {
            found.ended = Some((Instant::now(), how.to_owned()));
        }
    }

    /// Times at which the tasks whose names begin so were started.
    pub fn starts(&self, prefix: &str) -> Vec<Instant> {
        self.runs(prefix).iter().map(|run| run.started).collect()
    }

    /// Runs of the tasks whose names begin so, in the order of their starts.
    pub fn runs(&self, prefix: &str) -> Vec<RunRecord> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(prefix))
            .cloned()
            .collect()
    }
}
