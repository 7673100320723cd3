//! Plays experiments: each repeat plays all variants in turn, with the same fleet, workload, random draws and timed
//! faults.

mod definition;
mod play;
mod report;
mod summary;

use crate::error::TestbedError;
use crate::workload::CLASSES;
use definition::Experiment;
use std::path::Path;
use summary::{RunResult, Summary};

/// Maximum number of violations that are printed per run.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Plays an experiment file and writes its report. Returns whether there were no violations.
///
/// # Errors
///
/// Returns an error if the file is invalid, a coordinator does not start, or the report can't be written.
pub async fn run(path: &Path, out: &Path) -> Result<bool, TestbedError> {
    let experiment = Experiment::load(path)?;
    std::fs::create_dir_all(out).map_err(TestbedError::file(out))?;
    let mut runs = Vec::new();
    for repeat in 0..experiment.repeats {
        for variant in &experiment.variant {
            let folder = out.join(format!("{}-{repeat}", variant.name));
            let run = play::play_variant(&experiment, variant, repeat, &folder).await?;
            print_run(&run);
            runs.push(run);
        }
    }
    let summary = Summary::new(&experiment, runs);
    for (name, estimate) in &summary.differences {
        let first = &experiment.variant[0].name;
        println!("{}", report::difference_sentence(first, name, estimate));
    }
    report::write(&experiment, &summary, out)?;
    Ok(summary.runs.iter().all(|run| run.violations.is_empty()))
}

fn print_run(run: &RunResult) {
    println!(
        "{:16} repeat {}: service {:.3} ({} {:.3}, {} {:.3}), p50 {:.0} ms, p99 {:.0} ms, \
         {:.2} parts a query, {} rules broken",
        run.variant,
        run.repeat,
        run.service,
        CLASSES[0],
        run.by_class[0],
        CLASSES[1],
        run.by_class[1],
        run.p50_ms,
        run.p99_ms,
        run.parts_per_query,
        run.violations.len()
    );
    for violation in run.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("    {violation}");
    }
}
