//! Command-line arguments and settings file.

pub mod arguments;
pub mod settings;

pub use settings::{Settings, SettingsError};
