//! Command-line arguments and settings files.

pub mod arguments;
pub mod file;
mod position;
pub(crate) mod ranges;
pub mod security;
pub mod settings;

pub use file::SettingsError;
pub use settings::Settings;
