//! Passes a digest of the sources to the crate, so that the log of a host shows what it was built from.

use std::path::{Path, PathBuf};
use std::{fs, io};

use sha2::{Digest, Sha256};

/// Files and folders that decide what the program does.
const SOURCES: [&str; 4] = ["Cargo.lock", "Cargo.toml", "platform", "src"];
/// Length of the digest, in bytes: enough to tell landings apart.
const DIGEST_BYTES: usize = 6;

fn main() -> io::Result<()> {
    let mut files = Vec::new();
    for source in SOURCES {
        println!("cargo::rerun-if-changed={source}");
        collect(Path::new(source), &mut files)?;
    }
    files.sort();
    let mut digest = Sha256::new();
    for file in files {
        let content = fs::read(&file)?;
        digest.update(file.to_string_lossy().as_bytes());
        digest.update(content.len().to_le_bytes());
        digest.update(content);
    }
    let digest = digest.finalize();
    let digits = digest.iter().take(DIGEST_BYTES);
    let digits: String = digits.map(|byte| format!("{byte:02x}")).collect();
    println!("cargo::rustc-env=JUJUBEWINCH_SOURCES={digits}");
    Ok(())
}

/// Adds a file, or all files below a folder.
fn collect(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect(&entry?.path(), files)?;
    }
    Ok(())
}
