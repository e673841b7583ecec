//! Tests that the reference pages under `docs/` agree with the code.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use jujubewinch::admin::routes::{Access, ROUTES};
use jujubewinch::configuration::policy;
use jujubewinch::options::arguments;
use jujubewinch::options::settings::{LimitSettings, LoggingSettings, TimingSettings};

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn read(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Returns the cells of the table rows whose first cell is code.
fn table_rows(text: &str) -> Vec<Vec<String>> {
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|line| {
        let cells = line.trim_matches('|').split(" | ");
        cells.map(|cell| cell.trim().to_owned()).collect()
    })
    .collect()
}

/// Guards against a reference page whose policy figures differ from the registered figures.
#[test]
fn policy_figures_are_listed() {
    let name = "docs/operating/policy-figures.md";
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(path(name), policy::reference()).unwrap();
    }
    assert!(
        read(name) == policy::reference(),
        "{name} is stale; run UPDATE_DOCS=1 cargo test --test documentation"
    );
}

fn flatten(prefix: &str, value: &toml::Value, keys: &mut BTreeMap<String, String>) {
    match value {
        toml::Value::Table(table) => {
            for (name, value) in table {
                flatten(&format!("{prefix}.{name}"), value, keys);
            }
        }
        toml::Value::Array(items) => {
            for item in items {
                flatten(prefix, item, keys);
            }
        }
        other => {
            let key = prefix.trim_start_matches('.').to_owned();
            keys.insert(key, other.to_string().trim_matches('"').to_owned());
        }
    }
}

/// Guards against a settings reference that lacks a key, lists an unknown key, or states a wrong
/// default. `tests/settings/valid/full.toml` has every key; the last assertion ensures this.
#[test]
fn settings_are_listed_with_their_defaults() {
    let mut keys = BTreeMap::new();
    let full: toml::Value = toml::from_str(&read("tests/settings/valid/full.toml")).unwrap();
    flatten("", &full, &mut keys);
    let mut defaults = BTreeMap::new();
    let sections = [
        ("limits", toml::Value::try_from(LimitSettings::default())),
        ("timing", toml::Value::try_from(TimingSettings::default())),
        ("logging", toml::Value::try_from(LoggingSettings::default())),
    ];
    for (section, value) in sections {
        flatten(&format!(".{section}"), &value.unwrap(), &mut defaults);
    }
    let listed = table_rows(&read("docs/operating/settings.md"));
    let names: Vec<_> = listed
        .iter()
        .map(|row| row[0].trim_matches('`').to_owned())
        .collect();
    let mut sorted = names.clone();
    sorted.sort();
    assert_eq!(sorted, keys.keys().cloned().collect::<Vec<_>>());
    for (row, name) in listed.iter().zip(names) {
        if let Some(default) = defaults.get(&name) {
            assert_eq!(row[1], format!("`{default}`"), "{name}");
        }
    }
    assert!(
        defaults.keys().all(|key| keys.contains_key(key)),
        "full.toml lacks a key"
    );
}

/// Guards against an API reference whose calls, roles or query parameters differ from the routes.
#[test]
fn calls_of_the_administration_interface_are_listed() {
    let text = read("docs/api.md");
    let section = text
        .split("\n## ")
        .find(|part| part.starts_with("Administration"))
        .unwrap();
    let mut expected = Vec::new();
    for route in ROUTES {
        let role = match route.access {
            Access::Anyone => "none".to_owned(),
            Access::Role(role) => role.to_string(),
        };
        let query: Vec<String> = route.query.iter().map(|name| format!("`{name}`")).collect();
        expected.push((
            format!("`{} {}`", route.method, route.path),
            role,
            query.join(", "),
        ));
    }
    let mut listed = Vec::new();
    for row in table_rows(section) {
        if row[0].contains(" /") {
            listed.push((row[0].clone(), row[1].clone(), row[2].clone()));
        }
    }
    assert_eq!(listed, expected);
}

/// Splits a command line into words; single quotes group words.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            _ => words.last_mut().unwrap().push(letter),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Guards against documented commands that the binary does not accept.
#[test]
fn documented_commands_are_accepted() {
    let mut checked = 0;
    for entry in fs::read_dir(path("docs/operating")).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap().replace("\\\n", "");
        for line in text.lines().filter(|line| line.starts_with("jujubewinch ")) {
            let parsed = arguments::command().try_get_matches_from(split_words(line));
            assert!(
                parsed.is_ok(),
                "{}: {line}: {:?}",
                path.display(),
                parsed.err()
            );
            checked += 1;
        }
    }
    assert!(checked > 10, "no commands were found");
}
