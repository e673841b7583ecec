//! Stand-ins for clients, runners and the operator, and the scripted cases of the second review.
//!
//! `stand CASE PROGRAM RECORD` plays a case against a small cell of PROGRAM and writes RECORD. It exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod cases;
mod cell;
mod cleanup;
mod http;
mod json;
mod record;
mod runner;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use cases::Play;
use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    let record = Arc::new(record);
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("cannot create a temporary folder: {error}");
        exit(2);
    }
    cleanup::watch(folder.clone());
    record.line(&format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let play = Play {
        program: Path::new(program),
        folder: &folder,
        record: &record,
        trouble,
    };
    let verdict = cases::play(case, &play);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (text, code) = match verdict {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(broken)) => (format!("the rule was broken: {broken}"), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
