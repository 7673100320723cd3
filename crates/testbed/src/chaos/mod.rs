//! Faults between processes: many coordinators and emulated data nodes, everything that passes between them delayed,
//! lost or cut off by a scenario, and a checker of the whole history. See `docs/TESTBED.md`.

mod figures;
pub mod history_check;
mod injection;
mod network;
pub mod process;
mod run;
pub mod scenario;

use crate::error::TestbedError;
use run::ChaosRun;
use std::path::{Path, PathBuf};

/// Plays a scenario's file and prints what it showed. Returns whether nothing was wrong.
///
/// `keep` is a folder that keeps the processes' settings and logs, `program` another program than the one beside this.
///
/// # Errors
///
/// A scenario that is wrong, or a process that doesn't start or end as it should.
pub async fn run(
    path: &Path,
    keep: Option<&Path>,
    program: Option<PathBuf>,
) -> Result<bool, TestbedError> {
    let scenario = scenario::load(path)?;
    let folder = match keep {
        Some(folder) => folder.to_path_buf(),
        None => std::env::temp_dir().join(format!("cairnroad-chaos-{}", std::process::id())),
    };
    let played = ChaosRun::play(scenario, &folder, program).await;
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = played?;
    println!("{:#}", report.figures);
    for violation in &report.violations {
        println!("violation: {violation}");
    }
    println!("{} violations", report.violations.len());
    Ok(report.violations.is_empty())
}
