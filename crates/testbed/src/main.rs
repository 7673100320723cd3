//! The testbed: emulated data nodes, load, experiments, and faults between processes. See `docs/TESTBED.md`.
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

/// Exit code of a run that broke a rule.
const EXIT_VIOLATIONS: u8 = 1;
/// Exit code of a run that could not be played.
const EXIT_NOT_PLAYED: u8 = 2;

/// Emulated stock nodes, load, experiments.
#[derive(Debug, Parser)]
#[command(name = "cairnroad-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start stand-in nodes and one coordinator, and show what they do until Ctrl-C
    Demo {
        /// Seconds until it ends by itself; 0: never
        #[arg(long, default_value_t = 0.0)]
        seconds: f64,
    },
    /// Play an experiment's variants in turn and write a report
    #[command(
        after_help = "Example:\n  cairnroad-testbed run crates/testbed/experiments/storm.toml --out /tmp/storm"
    )]
    Run {
        /// The experiment's file
        experiment: PathBuf,
        /// The folder that the report is written to
        #[arg(long)]
        out: PathBuf,
    },
    /// Play faults between processes and check the whole history
    #[command(
        after_help = "Example:\n  cairnroad-testbed chaos crates/testbed/scenarios/twelve.toml --keep /tmp/twelve"
    )]
    Chaos {
        /// The scenario's file
        scenario: PathBuf,
        /// A folder that keeps the processes' settings and logs
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Another program than the one beside this
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
            ExitCode::from(EXIT_NOT_PLAYED)
        }
    }
}

/// Runs a command. Returns whether no rule was broken.
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
