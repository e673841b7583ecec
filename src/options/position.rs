//! Locates the lines and keys of faults in a settings file.

use std::ops::Range;

use toml::de::{DeTable, DeValue};

/// Returns the line, counted from one, of a dotted key such as `cell.hosts[1].peers`. When the key
/// is absent, this is the line of its innermost table that is present.
pub(super) fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(document) = DeTable::parse(text) else {
        return 1;
    };
    let mut offset = 0;
    let mut table = Some(document.get_ref());
    for part in key.split('.') {
        let (name, index) = split_index(part);
        let entry =
            table.and_then(|table| table.iter().find(|(key, _)| key.get_ref().as_ref() == name));
        let Some((key, value)) = entry else {
            break;
        };
        offset = key.span().start;
        table = match (value.get_ref(), index) {
            (DeValue::Table(table), None) => Some(table),
            (DeValue::Array(items), Some(index)) => items.get(index).and_then(|item| {
                offset = item.span().start;
                match item.get_ref() {
                    DeValue::Table(table) => Some(table),
                    _ => None,
                }
            }),
            _ => None,
        };
    }
    line_of_offset(text, offset)
}

/// Returns the line of a byte offset, counted from one.
pub(super) fn line_of_offset(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// Returns the dotted key of a fault that the TOML parser reports at an offset: the absent key when
/// a key is missing, otherwise the innermost entry at the offset. When the text is not TOML, returns
/// the part of the line before the equals sign.
pub(super) fn key_of_fault(text: &str, offset: usize, message: &str) -> String {
    let Ok(document) = DeTable::parse(text) else {
        let line = text.lines().nth(line_of_offset(text, offset) - 1);
        let key = line.unwrap_or_default().split('=').next();
        return key.unwrap_or_default().trim().to_owned();
    };
    let entry = key_in_table(document.get_ref(), offset).unwrap_or_default();
    let missing = message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    match missing {
        Some(missing) if entry.is_empty() => missing.to_owned(),
        Some(missing) => format!("{entry}.{missing}"),
        None => entry,
    }
}

fn key_in_table(table: &DeTable<'_>, offset: usize) -> Option<String> {
    let inside = |span: Range<usize>| span.contains(&offset);
    for (key, value) in table {
        let name = key.get_ref().as_ref();
        let inner = match value.get_ref() {
            DeValue::Table(table) => key_in_table(table, offset).map(|rest| format!(".{rest}")),
            DeValue::Array(items) => key_in_array(items, offset),
            _ => None,
        };
        if let Some(rest) = inner {
            return Some(format!("{name}{rest}"));
        }
        if inside(key.span()) || inside(value.span()) {
            return Some(name.to_owned());
        }
    }
    None
}

fn key_in_array(items: &toml::de::DeArray<'_>, offset: usize) -> Option<String> {
    for (index, item) in items.iter().enumerate() {
        if let DeValue::Table(table) = item.get_ref()
            && let Some(rest) = key_in_table(table, offset)
        {
            return Some(format!("[{index}].{rest}"));
        }
        if item.span().contains(&offset) {
            return Some(format!("[{index}]"));
        }
    }
    None
}

/// Splits `name[index]` into name and index.
fn split_index(part: &str) -> (&str, Option<usize>) {
    let indexed = part.strip_suffix(']').and_then(|rest| rest.split_once('['));
    match indexed {
        Some((name, index)) => (name, index.parse().ok()),
        None => (part, None),
    }
}
