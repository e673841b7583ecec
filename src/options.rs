//! Command-line arguments and settings file.

pub mod arguments;
mod position;
mod ranges;
pub mod security;
pub mod settings;

pub use settings::{Settings, SettingsError};
