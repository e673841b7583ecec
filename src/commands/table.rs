//! Plain-text tables for operators.

use std::time::{Duration, SystemTime};

use serde_json::Value;

/// Heading of a column and JSON pointer to its value in each row. Values of pointers that end in
/// `_unix_ms` are printed as times, those of pointers that end in `age_ms` as durations.
pub(super) type Column = (&'static str, &'static str);

/// Formats a list of objects as a table with one row per object.
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
            .map(|(_, pointer)| format_value(item, pointer))
            .collect();
        rows.push(row);
    }
    align_columns(&rows)
}

fn align_columns(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (position, text) in row.iter().enumerate() {
            let width = text.chars().count();
            match widths.get_mut(position) {
                Some(maximum) => *maximum = width.max(*maximum),
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

/// Formats the fields of an object, one per line; fields of nested objects have dotted names.
pub(super) fn block(object: Option<&Value>) -> String {
    let mut rows = Vec::new();
    if let Some(object) = object {
        add_fields(&mut rows, "", object);
    }
    if rows.is_empty() {
        return "  -\n".to_owned();
    }
    align_columns(&rows)
}

fn add_fields(rows: &mut Vec<Vec<String>>, prefix: &str, object: &Value) {
    for (name, value) in object.as_object().into_iter().flatten() {
        if value.is_object() {
            add_fields(rows, &format!("{prefix}{name}."), value);
            continue;
        }
        rows.push(vec![
            format!("  {prefix}{name}"),
            format_value(object, &format!("/{name}")),
        ]);
    }
}

fn format_value(item: &Value, pointer: &str) -> String {
    match item.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.replace(char::is_control, " "),
        Some(Value::Number(number)) => match number.as_u64() {
            Some(ms) if pointer.ends_with("_unix_ms") => timestamp(ms),
            Some(ms) if pointer.ends_with("age_ms") => format_duration(ms),
            _ => number.to_string(),
        },
        Some(Value::Array(list)) => {
            let texts: Vec<String> = list.iter().map(|item| format_value(item, "")).collect();
            if texts.is_empty() {
                "-".to_owned()
            } else {
                texts.join(", ")
            }
        }
        Some(other) => other.to_string(),
    }
}

/// Formats a Unix time as RFC 3339; times after the year 9999 stay in milliseconds.
pub(super) fn timestamp(unix_ms: u64) -> String {
    let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    // The formatter fails in the middle of the output for years after 9999.
    match time.filter(|_| unix_ms < 253_402_300_800_000) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => format!("{unix_ms} ms"),
    }
}

fn format_duration(ms: u64) -> String {
    humantime::format_duration(Duration::from_secs(ms / 1_000)).to_string()
}
