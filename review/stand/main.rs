//! Stand-ins and cases of the review: `stand CASE FOLDER`, or `stand runner ...` for a runner.

mod cases;
mod cell;
mod http;
mod json;
mod runner;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let word = |position: usize| {
        arguments
            .get(position)
            .map(String::as_str)
            .unwrap_or_default()
    };
    if word(1) == "runner" {
        runner::main(runner::Options {
            id: word(2).to_owned(),
            addr: word(3).parse().expect("address"),
            zone: word(4).to_owned(),
            service: word(5).to_owned(),
            labels: word(6).split(',').map(str::to_owned).collect(),
            control: word(7)
                .split(',')
                .map(|addr| addr.parse().expect("address"))
                .collect(),
            max_hold_ms: word(8).parse().expect("time"),
            log: word(9).to_owned(),
            ahead_ms: word(10).parse().expect("time"),
        });
        return;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = cell::Record::new(word(2));
    let held = match word(1) {
        "foreign" => cases::foreign(&mut record, trouble),
        "one-crash" => cases::one_crash(&mut record, trouble),
        "late-submission" => cases::late_submission(&mut record, trouble),
        "clock" => cases::clock(&mut record, trouble),
        "many-steps" => cases::many_steps(&mut record, trouble),
        "lasting" => cases::lasting(&mut record, trouble),
        other => {
            eprintln!("no case {other}");
            None
        }
    };
    let (text, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(text);
    std::process::exit(code);
}
