//! Registry of policy figures: the numeric parameters of the scheduler that operators can set.
//!
//! A module adds a figure in its own file as a static of type [`Figure`] and registers it by
//! `inventory::submit! { RegisteredFigure(&NAME) }`.

use std::sync::OnceLock;

use derive_more::Display;
use indexmap::IndexMap;
use serde::Serialize;

use super::scope::ScopeKind;

/// Unit of the values of a figure.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Unit {
    /// Number of requests.
    Requests,
    /// Duration in milliseconds.
    Milliseconds,
    /// Hundredths of a whole.
    Percent,
    /// Share relative to the weights of others.
    Weight,
    /// Number of failures in a row.
    Failures,
    /// Number of other objects.
    Count,
    /// Memory in MiB.
    Mebibytes,
}

/// A numeric parameter of the scheduler's policy, which operators can set.
#[derive(Debug, Serialize)]
pub struct Figure {
    /// Dotted name, for example `retry.budget_percent`.
    pub name: &'static str,
    /// Unit of the default, the range and all values.
    pub unit: Unit,
    /// Value in effect while no operator has set one; within the range.
    pub default: u64,
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
    /// Kinds of scope for which exceptions have an effect.
    pub scopes: &'static [ScopeKind],
    /// What the figure controls, in one line.
    pub description: &'static str,
}

/// Registration of a figure, collected by `inventory`.
pub struct RegisteredFigure(pub &'static Figure);

inventory::collect!(RegisteredFigure);

impl Figure {
    /// Checks a value against the range.
    ///
    /// # Errors
    ///
    /// Returns a message with the allowed range.
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

    /// Checks that exceptions for this kind of scope have an effect.
    ///
    /// # Errors
    ///
    /// Returns a message with the allowed kinds of scope.
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

/// Returns all registered figures, sorted by name.
///
/// # Panics
///
/// Panics when two modules register the same name or a default is outside of its range, both of
/// which are programming errors.
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

/// Returns the figure with the given name.
///
/// # Errors
///
/// Returns a message that names the command which lists all figures.
pub fn figure(name: &str) -> Result<&'static Figure, String> {
    let registered = figures().get(name).copied();
    registered.ok_or_else(|| {
        format!("no policy figure {name}; `jujubewinch config list` prints all of them")
    })
}

/// Returns the reference page of all figures, `docs/operating/policy-figures.md`.
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
