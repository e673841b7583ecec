//! Reading, parsing and checking of settings files of any type.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;

use super::position;

/// Error of loading a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {file}: {reason}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The file is not valid TOML or has an unknown key or a value of the wrong type.
    #[error("{file}, line {line}: {key}: {reason}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Line of the fault, counted from one.
        line: usize,
        /// Dotted key; when the file is not TOML, the part of the line before the equals sign.
        key: String,
        /// Error of the TOML parser.
        reason: String,
    },
    /// Two values contradict each other or a value is out of range.
    #[error("{file}, line {line}: {key}: {reason}")]
    Contradiction {
        /// Path of the file.
        file: String,
        /// Line of the key, counted from one; the line of the key's table when the key is absent.
        line: usize,
        /// Dotted key of the rejected value.
        key: String,
        /// Cause and remedy.
        reason: String,
    },
}

/// A rejected value of a settings file.
pub struct Fault {
    key: String,
    reason: String,
}

impl Fault {
    /// Creates a fault of the value at a dotted key.
    pub fn new(key: &str, reason: &str) -> Self {
        Self {
            key: key.to_owned(),
            reason: reason.to_owned(),
        }
    }
}

/// Reads a file and checks its values.
///
/// # Errors
///
/// Returns [`SettingsError`] with file, line and key.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    parse(&text, &file, check)
}

/// Parses a text and checks its values. `file` is the path that errors report.
///
/// # Errors
///
/// Returns [`SettingsError`] with file, line and key.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    file: &str,
    check: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, SettingsError> {
    let settings: T = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        SettingsError::Malformed {
            file: file.to_owned(),
            line: position::line_of_offset(text, offset),
            key: position::key_of_fault(text, offset, error.message()),
            reason: error.message().trim_end().to_owned(),
        }
    })?;
    check(&settings).map_err(|fault| SettingsError::Contradiction {
        file: file.to_owned(),
        line: position::line_of_key(text, &fault.key),
        key: fault.key,
        reason: fault.reason,
    })?;
    Ok(settings)
}
