//! Table of the figures of the scheduler's policy.
//!
//! A module adds a figure in its own file as a constant of type [`Figure`] and registers it by
//! `inventory::submit! { RegisteredFigure(&NAME) }`.

use std::sync::OnceLock;

use derive_more::Display;
use indexmap::IndexMap;
use serde::Serialize;

use super::scope::ScopeKind;

/// Unit of a figure.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Unit {
    /// Requests.
    Requests,
    /// Milliseconds.
    Milliseconds,
    /// Hundredths.
    Percent,
    /// Share relative to others.
    Weight,
    /// Failures in a row.
    Failures,
    /// Anything else that is counted.
    Count,
    /// MiB of memory.
    Mebibytes,
}

/// A figure of the scheduler's policy, which operators can set.
#[derive(Debug, Serialize)]
pub struct Figure {
    /// Dotted name, for example `retry.budget_percent`.
    pub name: &'static str,
    /// Unit of its values.
    pub unit: Unit,
    /// Value where no operator set one; within the range.
    pub default: u64,
    /// Least allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
    /// Scopes for which its reader looks up exceptions.
    pub scopes: &'static [ScopeKind],
    /// What it decides, in one line.
    pub description: &'static str,
}

/// A figure that its module registered.
pub struct RegisteredFigure(pub &'static Figure);

inventory::collect!(RegisteredFigure);

impl Figure {
    /// Checks a value against the range.
    ///
    /// # Errors
    ///
    /// A message with the allowed range.
    pub fn check(&self, value: u64) -> Result<(), String> {
        if (self.min..=self.max).contains(&value) {
            return Ok(());
        }
        let Self {
            name,
            unit,
            min,
            max,
            ..
        } = self;
        Err(format!(
            "{name} must be from {min} to {max} ({unit}), not {value}"
        ))
    }

    /// Checks whether exceptions for such a scope have an effect.
    ///
    /// # Errors
    ///
    /// A message with the allowed scopes.
    pub fn check_scope(&self, scope: ScopeKind) -> Result<(), String> {
        if self.scopes.contains(&scope) {
            return Ok(());
        }
        let allowed: Vec<String> = self.scopes.iter().map(ToString::to_string).collect();
        Err(format!(
            "{} has no exceptions for a {scope}; allowed: {}",
            self.name,
            allowed.join(", ")
        ))
    }
}

/// All figures, sorted by name.
///
/// # Panics
///
/// When two modules register the same name or a default outside of its range, which is a fault
/// of the program.
pub fn figures() -> &'static IndexMap<&'static str, &'static Figure> {
    static FIGURES: OnceLock<IndexMap<&'static str, &'static Figure>> = OnceLock::new();
    FIGURES.get_or_init(|| {
        let mut table = IndexMap::new();
        for RegisteredFigure(figure) in inventory::iter::<RegisteredFigure> {
            assert!(
                (figure.min..=figure.max).contains(&figure.default),
                "the default of {} is outside of its range",
                figure.name
            );
            let earlier = table.insert(figure.name, *figure);
            assert!(earlier.is_none(), "figure {} registered twice", figure.name);
        }
        table.sort_unstable_keys();
        table
    })
}

/// The figure of that name.
///
/// # Errors
///
/// A message that names the command which lists all figures.
pub fn figure(name: &str) -> Result<&'static Figure, String> {
    let found = figures().get(name).copied();
    found.ok_or_else(|| {
        format!("no policy figure {name}; `jujubewinch config list` prints all of them")
    })
}

/// The list of figures for `docs/operating/policy-figures.md`.
pub fn reference() -> String {
    let mut text = String::from(
        "# Policy figures\n\n\
         Generated from the code; `UPDATE_DOCS=1 cargo test --test documentation` writes it \
         anew.\n\n\
         | figure | unit | default | range | exceptions for | decides |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for figure in figures().values() {
        let scopes: Vec<String> = figure.scopes.iter().map(ToString::to_string).collect();
        text.push_str(&format!(
            "| `{}` | {} | {} | {} to {} | {} | {} |\n",
            figure.name,
            figure.unit,
            figure.default,
            figure.min,
            figure.max,
            scopes.join(", "),
            figure.description
        ));
    }
    text
}
