//! The laboratory. See `docs/LAB.md`.

mod chaos;
mod demo;
mod experiment;
mod fleet;
mod ledger;
mod load;
mod model;
mod report;
mod stats;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

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
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cairnroad-testbed: {e}");
            return ExitCode::from(2);
        }
    };
    let local = tokio::task::LocalSet::new();
    let done = match Cli::parse().command {
        Command::Demo { seconds } => local.block_on(&runtime, demo::run(seconds)),
        Command::Run { experiment, out } => {
            local.block_on(&runtime, experiment::run(&experiment, &out))
        }
        Command::Chaos {
            scenario,
            keep,
            program,
        } => local.block_on(&runtime, chaos::run(&scenario, keep.as_deref(), program)),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(text) => {
            eprintln!("cairnroad-testbed: {text}");
            ExitCode::from(2)
        }
    }
}
