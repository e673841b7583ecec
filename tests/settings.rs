//! Tests that valid settings files are accepted, and that invalid files are rejected with file,
//! line and key.

use std::fs;
use std::path::{Path, PathBuf};

use jujubewinch::options::Settings;
use jujubewinch::workflow::settings::WorkflowSettings;

fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/settings")
        .join(folder);
    let entries = fs::read_dir(folder).expect("the folder exists");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Guards against a valid file that is rejected.
#[test]
fn valid_files_are_accepted() {
    for path in files("valid") {
        Settings::load(&path).unwrap_or_else(|error| panic!("{error}"));
    }
}

/// Guards against an invalid file that is accepted, or rejected with a wrong position. The first
/// line of each file names the key; the snapshot shows line and reason.
#[test]
fn invalid_files_are_rejected_with_file_line_and_key() {
    let mut messages = String::new();
    let paths = files("invalid");
    assert!(paths.len() > 20, "the files are missing");
    for path in paths {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let text = fs::read_to_string(&path).unwrap();
        let key = text
            .lines()
            .next()
            .unwrap()
            .strip_prefix("# expect: ")
            .unwrap();
        let error = match Settings::parse(&text, &name) {
            Ok(_) => panic!("{name} is accepted"),
            Err(error) => error.to_string(),
        };
        let rest = error
            .strip_prefix(&format!("{name}, line "))
            .unwrap_or_default();
        let (line, rest) = rest.split_once(": ").unwrap_or_default();
        let line: usize = line
            .parse()
            .unwrap_or_else(|_| panic!("no line in: {error}"));
        assert!(
            rest.starts_with(&format!("{key}: ")),
            "{key} is not named in: {error}"
        );
        let shown = text.lines().nth(line - 1).unwrap_or_default();
        messages.push_str(&format!("{error}\n    {shown}\n"));
    }
    insta::assert_snapshot!("messages", messages);
}

/// Guards against an unreadable file that is treated as an empty file.
#[test]
fn error_of_an_unreadable_file_names_the_file() {
    let error = Settings::load(Path::new("tests/settings/absent.toml")).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("cannot read tests/settings/absent.toml: "),
        "{error}"
    );
}

/// Guards against faults in the settings of a workflow host that are reported without line and key.
#[test]
fn faults_of_a_cell_host_name_line_and_key() {
    let sample = "[host]\naddress = \"10.0.0.1\"\nname = \"a\"\ndata_centre = \"erdenet\"\n\
        [listeners]\npeers = \"10.0.0.1:1\"\n\
        [cell]\nseeds = [\"10.0.0.1:1\"]\nforms_new_cell = true\ntolerated_losses = 1\n\
        [timing]\nmax_worker_lease_ms = 10000\nstop_grace_ms = 6000\njob_retention_ms = 1000\n";
    assert!(WorkflowSettings::parse(sample, "cell.toml").is_ok());
    let cases = [
        (
            "max_worker_lease_ms = 10000",
            "max_worker_lease_ms = 0",
            "12: timing.max_worker_lease_ms: ",
        ),
        ("seeds = [\"10.0.0.1:1\"]", "seeds = []", "8: cell.seeds: "),
        (
            "[cell]",
            "callers = \"10.0.0.1:2\"\n[cell]",
            "5: listeners.readiness: ",
        ),
        ("name = ", "nmae = ", "3: host.nmae: "),
        (
            "[timing]",
            "[placement]\nremote_factor = nan\n[timing]",
            "12: placement.remote_factor: ",
        ),
    ];
    for (valid, invalid, expected) in cases {
        let text = sample.replace(valid, invalid);
        let error = WorkflowSettings::parse(&text, "cell.toml")
            .unwrap_err()
            .to_string();
        let expected = format!("cell.toml, line {expected}");
        assert!(error.starts_with(&expected), "{error}");
    }
}

/// Guards against a factor that is refused in a form that the platform writes, and against waits in
/// cells without a factor above 1.
#[test]
fn the_factor_of_remote_tasks_is_optional() {
    let sample = "[host]\naddress = \"10.0.0.1\"\nname = \"a\"\ndata_centre = \"erdenet\"\n\
        [listeners]\npeers = \"10.0.0.1:1\"\n\
        [cell]\nseeds = [\"10.0.0.1:1\"]\nforms_new_cell = true\ntolerated_losses = 1\n\
        [timing]\nmax_worker_lease_ms = 10000\nstop_grace_ms = 6000\njob_retention_ms = 1000\n";
    let cases = [
        ("", None),
        ("[placement]\n", None),
        ("[placement]\nremote_factor = 1.0\n", None),
        ("[placement]\nremote_factor = 0.5\n", None),
        ("[placement]\nremote_factor = 2\n", Some(2.0)),
        ("[placement]\nremote_factor = 1.5\n", Some(1.5)),
    ];
    for (section, expected) in cases {
        let settings = WorkflowSettings::parse(&format!("{sample}{section}"), "cell.toml");
        let settings = settings.unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(settings.remote_factor(), expected, "{section}");
    }
}
