use std::env;
use std::path::{Path, PathBuf};

/// Where the build put a program of this workspace.
///
/// The running test or binary lies beside the programs, or in `deps` below them.
pub fn binary(name: &str) -> PathBuf {
    let here = env::current_exe().unwrap_or_default();
    let folder = here.parent().unwrap_or(Path::new("."));
    let folder = match folder.ends_with("deps") {
        true => folder.parent().unwrap_or(folder),
        false => folder,
    };
    folder.join(name)
}
