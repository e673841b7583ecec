//! Tables for people.

use std::time::{Duration, SystemTime};

use serde_json::Value;

/// A column: its heading and the JSON pointer of its values. Pointers that end in `_unix_ms` name
/// times and those that end in `age_ms` durations.
pub(super) type Column = (&'static str, &'static str);

/// A table of the objects in a list.
pub(super) fn table(list: &Value, columns: &[Column]) -> String {
    let mut rows = vec![
        columns
            .iter()
            .map(|(heading, _)| (*heading).to_owned())
            .collect(),
    ];
    for item in list.as_array().into_iter().flatten() {
        let row: Vec<String> = columns
            .iter()
            .map(|(_, pointer)| cell(item, pointer))
            .collect();
        rows.push(row);
    }
    align(&rows)
}

fn align(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (position, text) in row.iter().enumerate() {
            let width = text.chars().count();
            match widths.get_mut(position) {
                Some(widest) => *widest = width.max(*widest),
                None => widths.push(width),
            }
        }
    }
    let mut output = String::new();
    for row in rows {
        let mut line = String::new();
        for (text, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{text:<width$}  "));
        }
        output.push_str(line.trim_end());
        output.push('\n');
    }
    output
}

/// The fields of an object, one a line; those of nested objects have dotted names.
pub(super) fn block(object: Option<&Value>) -> String {
    let mut rows = Vec::new();
    if let Some(object) = object {
        add_fields(&mut rows, "", object);
    }
    if rows.is_empty() {
        return "  -\n".to_owned();
    }
    align(&rows)
}

fn add_fields(rows: &mut Vec<Vec<String>>, prefix: &str, object: &Value) {
    for (name, value) in object.as_object().into_iter().flatten() {
        if value.is_object() {
            add_fields(rows, &format!("{prefix}{name}."), value);
            continue;
        }
        rows.push(vec![
            format!("  {prefix}{name}"),
            cell(object, &format!("/{name}")),
        ]);
    }
}

fn cell(item: &Value, pointer: &str) -> String {
    match item.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.replace(char::is_control, " "),
        Some(Value::Number(number)) => match number.as_u64() {
            Some(ms) if pointer.ends_with("_unix_ms") => timestamp(ms),
            Some(ms) if pointer.ends_with("age_ms") => duration(ms),
            _ => number.to_string(),
        },
        Some(Value::Array(list)) => {
            let texts: Vec<String> = list.iter().map(|item| cell(item, "")).collect();
            if texts.is_empty() {
                "-".to_owned()
            } else {
                texts.join(", ")
            }
        }
        Some(other) => other.to_string(),
    }
}

/// A wall-clock time in RFC 3339.
pub(super) fn timestamp(unix_ms: u64) -> String {
    let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    // The formatter refuses years above 9999 by an error in the middle of the output.
    match time.filter(|_| unix_ms < 253_402_300_800_000) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => format!("{unix_ms} ms"),
    }
}

fn duration(ms: u64) -> String {
    humantime::format_duration(Duration::from_secs(ms / 1_000)).to_string()
}
