//! The sample deployments stay valid and agree among their hosts.

use std::fs;
use std::path::Path;

use jujubewinch::options::Settings;

/// Guards against samples that no longer start or whose hosts disagree about the cell.
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
        for one in &settings {
            let cells = [one, &settings[0]].map(|host| toml::to_string(&host.cell).unwrap());
            assert_eq!(cells[0], cells[1], "{name}: {}", one.host.id);
            let address = one.this_host().peers;
            assert_eq!(one.listeners.peers, address, "{name}: {}", one.host.id);
        }
    }
}
