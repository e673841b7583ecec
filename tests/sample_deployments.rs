//! Tests of the settings files of the sample deployments.

use std::fs;
use std::path::Path;

use jujubewinch::options::Settings;

/// Guards against samples whose settings are invalid or whose hosts describe different cells.
#[test]
fn all_hosts_of_a_sample_describe_the_same_cell() {
    for (name, hosts) in [("tuul", 8), ("gutterworks", 8)] {
        let folder = Path::new("deploy").join(name);
        let files = fs::read_dir(&folder)
            .unwrap()
            .map(|entry| entry.unwrap().path());
        let settings: Vec<Settings> = files
            .filter(|file| {
                file.extension()
                    .is_some_and(|extension| extension == "toml")
            })
            .map(|file| Settings::load(&file).unwrap())
            .collect();
        assert_eq!(settings.len(), hosts, "{name}");
        for host_settings in &settings {
            let cells =
                [host_settings, &settings[0]].map(|host| toml::to_string(&host.cell).unwrap());
            assert_eq!(cells[0], cells[1], "{name}: {}", host_settings.host.id);
            let address = host_settings.this_host().peers;
            assert_eq!(
                host_settings.listeners.peers, address,
                "{name}: {}",
                host_settings.host.id
            );
        }
    }
}
