//! The testbed: runs coordinators against emulated data nodes, with generated load, experiments and injected faults.
//! See `docs/TESTBED.md`.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod chaos;
mod coordinator_process;
mod demo;
mod deployment;
mod error;
mod experiment;
mod fleet;
mod node_model;
mod run_log;
mod statistics;
mod workload;

use clap::{Parser, Subcommand};
use error::TestbedError;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a run with violations.
const EXIT_VIOLATIONS: u8 = 1;
/// Exit code of a run that could not be completed.
const EXIT_FAILURE: u8 = 2;

/// Run coordinators against emulated data nodes
#[derive(Debug, Parser)]
#[command(name = "cairnroad-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start emulated nodes and one coordinator under light load, and print figures until Ctrl-C
    Demo {
        /// Seconds after which the demo ends; 0 to run until Ctrl-C, at most an hour
        #[arg(long, default_value_t = 0.0)]
        seconds: f64,
    },
    /// Play the variants of an experiment in turn and write a report
    #[command(
        after_help = "Example:\n  cairnroad-testbed run crates/testbed/experiments/storm.toml --out /tmp/storm"
    )]
    Run {
        /// The experiment file
        experiment: PathBuf,
        /// The folder to write the report to
        #[arg(long)]
        out: PathBuf,
    },
    /// Run many coordinators with injected faults and check the recorded history
    #[command(
        after_help = "Example:\n  cairnroad-testbed chaos crates/testbed/scenarios/twelve.toml --keep /tmp/twelve"
    )]
    Chaos {
        /// The scenario file
        scenario: PathBuf,
        /// Keep the settings and logs of the processes in this folder
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The coordinator binary to run instead of the one next to this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATIONS),
        Err(error) => {
            eprintln!("cairnroad-testbed: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs a command. Returns whether there were no violations.
fn run(command: Command) -> Result<bool, TestbedError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(TestbedError::Runtime)?;
    let tasks = tokio::task::LocalSet::new();
    match command {
        Command::Demo { seconds } => tasks.block_on(&runtime, demo::run(seconds)),
        Command::Run { experiment, out } => {
            tasks.block_on(&runtime, experiment::run(&experiment, &out))
        }
        Command::Chaos {
            scenario,
            keep,
            program,
        } => tasks.block_on(&runtime, chaos::run(&scenario, keep.as_deref(), program)),
    }
}
