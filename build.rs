//! Lists the files under `src/workloads/` as modules, so that a new workload kind is one new file.

use std::path::Path;
use std::{env, fs};

fn main() {
    let root = env::var("CARGO_MANIFEST_DIR").expect("cargo sets CARGO_MANIFEST_DIR");
    let folder = Path::new(&root).join("src").join("workloads");
    println!("cargo::rerun-if-changed={}", folder.display());
    let entries = fs::read_dir(&folder).expect("src/workloads can be read");
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect();
    files.sort();
    let mut modules = String::new();
    for file in files {
        let name = file.file_stem().and_then(|stem| stem.to_str());
        let name = name.expect("names of source files are UTF-8");
        modules += &format!(
            "#[path = {:?}]\npub mod {name};\n",
            file.display().to_string()
        );
    }
    let target = env::var("OUT_DIR").expect("cargo sets OUT_DIR");
    fs::write(Path::new(&target).join("workloads.rs"), modules).expect("OUT_DIR is writable");
}
