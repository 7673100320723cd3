//! The command line. `docs/CLI.md` describes it; the comments here are also the help texts.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// The coordinator: accepts queries from clients, sends their parts to servers, and gives each one final answer.
#[derive(Debug, Parser)]
#[command(name = "cairnroad", version, arg_required_else_help = false)]
#[command(
    after_help = "Without a command, the coordinator is run. The configuration is the JSON file that NODE_CONFIG \
    names and deploy/cairnroad.toml, or the file that CAIRNROAD_FILE names.\n\n\
    Exit codes: 0 success, 1 what was checked is faulty or differs, 2 usage, or something can't be read."
)]
pub struct Cli {
    /// What to do; without one, run the coordinator
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the coordinator (the default)
    Serve,
    /// Read all configuration and print what takes effect
    #[command(
        after_help = "Example:\n  NODE_CONFIG=/run/balancer/config.json cairnroad check-config"
    )]
    CheckConfig(OutputOptions),
    /// Interface descriptions, in OpenAPI and AsyncAPI
    #[command(subcommand)]
    Contract(ContractCommand),
    /// The endpoint list in files
    #[command(subcommand)]
    Roster(RosterCommand),
}

/// Commands on the endpoint list in files.
#[derive(Debug, Subcommand)]
pub enum RosterCommand {
    /// Read a list and print all its faults; without PATH, the configured one
    Check {
        /// The folder of its files, or its one file
        path: Option<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print what a list would do in place of another
    #[command(after_help = "Example:\n  cairnroad roster diff storm/ servers.d/")]
    Diff {
        /// The new one
        new: PathBuf,
        /// The old one; without it, the configured one
        old: Option<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print the latest snapshot: the list in force, and since when
    Show(OutputOptions),
    /// Check a list and put it in place of the configured one, as one file and one generation later
    Apply {
        /// The new one: a folder or a file
        new: PathBuf,
        /// Allow the list to remove more servers than is usual
        #[arg(long)]
        allow_shrink: bool,
    },
}

/// How a command prints its result.
#[derive(Clone, Copy, Debug, Args)]
pub struct OutputOptions {
    /// Print JSON, for programs
    #[arg(long)]
    pub json: bool,
}

/// Which of the coordinator's own descriptions is printed.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DescriptionKind {
    /// The HTTP interfaces
    Openapi,
    /// The protocols to servers and discovery
    Asyncapi,
}

/// Commands on interface descriptions.
#[derive(Debug, Subcommand)]
pub enum ContractCommand {
    /// Read descriptions and print all their faults
    #[command(after_help = "Example:\n  cairnroad contract check nodes.yaml clients.json")]
    Check {
        /// The descriptions
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print this coordinator's own description, as it is configured
    #[command(
        after_help = "Example:\n  NODE_CONFIG=config.json cairnroad contract show --kind openapi --yaml"
    )]
    Show {
        /// Which one
        #[arg(long, value_enum)]
        kind: DescriptionKind,
        /// Print YAML; else JSON
        #[arg(long)]
        yaml: bool,
    },
    /// Print what changed between two descriptions; exit 1 if anything breaks
    Diff {
        /// The old one
        old: PathBuf,
        /// The new one
        new: PathBuf,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Check recorded traffic against a description
    #[command(after_help = "Traffic is one JSON object a line:\n  \
        {\"method\":\"GET\",\"target\":\"/a?b=1\",\"answer\":{\"status\":200,\
        \"fields\":{\"Content-Type\":\"application/json\"},\"body\":{}}}\n  \
        {\"channel\":\"frames\",\"message\":\"A\",\"headers\":{},\"payload\":\"\"}")]
    Replay {
        /// The description
        description: PathBuf,
        /// The traffic, or - for standard input
        traffic: PathBuf,
        #[command(flatten)]
        output: OutputOptions,
    },
}
