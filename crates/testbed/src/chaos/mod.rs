//! Fault injection between processes: runs many coordinators and emulated data nodes, delays, drops or partitions the
//! traffic between them as a scenario states, and checks the recorded history. See `docs/TESTBED.md`.

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

/// Plays a scenario file and prints its figures and violations. Returns whether there were no violations.
///
/// `keep` is the folder that retains the settings and logs of the processes; without it they go to a temporary folder
/// that is removed afterwards. `program` replaces the coordinator binary next to the testbed's own.
///
/// # Errors
///
/// Returns an error if the scenario is invalid, or if a process does not start or stop as expected.
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
