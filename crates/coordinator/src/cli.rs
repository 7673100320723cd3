//! The command line, described in `docs/CLI.md`. Doc comments of commands and arguments are their help texts.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// The coordinator: accepts queries from clients, sends their parts to servers, and gives each one final answer.
#[derive(Debug, Parser)]
#[command(name = "cairnroad", version, arg_required_else_help = false)]
#[command(
    after_help = "Without a command, the coordinator runs. The configuration is read from the JSON file at the path in \
    NODE_CONFIG and from deploy/cairnroad.toml, or the file at the path in CAIRNROAD_FILE.\n\n\
    Exit codes: 0 success; 1 faults or breaking changes found, or the coordinator failed; 2 wrong usage, or a file \
    can't be read or written."
)]
pub struct Cli {
    /// Command to run; without one, the coordinator runs
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the coordinator (the default)
    Serve,
    /// Check the configuration and print the settings in effect
    #[command(
        after_help = "Example:\n  NODE_CONFIG=/run/balancer/config.json cairnroad check-config"
    )]
    CheckConfig(OutputOptions),
    /// Check, show, compare and replay interface descriptions (OpenAPI and AsyncAPI)
    #[command(subcommand)]
    Contract(ContractCommand),
    /// Check, compare, show and apply endpoint lists in files
    #[command(subcommand)]
    Roster(RosterCommand),
}

/// Commands on endpoint lists in files.
#[derive(Debug, Subcommand)]
pub enum RosterCommand {
    /// Check an endpoint list and print all its faults; without PATH, check the configured list
    Check {
        /// Folder of endpoint files, or a single file
        path: Option<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print the changes that take effect if one list replaces another
    #[command(after_help = "Example:\n  cairnroad roster diff storm/ servers.d/")]
    Diff {
        /// New list: a folder or a file
        new: PathBuf,
        /// Old list: a folder or a file; without it, the configured list
        old: Option<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print the latest snapshot: the list in force and the time since when it is in force
    Show(OutputOptions),
    /// Check a list and replace the configured one with it, as a single file under the next generation
    Apply {
        /// New list: a folder or a file
        new: PathBuf,
        /// Allow the list to remove a larger share of servers than the configured limit
        #[arg(long)]
        allow_shrink: bool,
    },
}

/// How a command prints its result.
#[derive(Clone, Copy, Debug, Args)]
pub struct OutputOptions {
    /// Print JSON instead of text
    #[arg(long)]
    pub json: bool,
}

/// The coordinator's own description to print.
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
    /// Check descriptions and print all their faults
    #[command(after_help = "Example:\n  cairnroad contract check nodes.yaml clients.json")]
    Check {
        /// Files of the descriptions
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Print the coordinator's own description for the current configuration
    #[command(
        after_help = "Example:\n  NODE_CONFIG=config.json cairnroad contract show --kind openapi --yaml"
    )]
    Show {
        /// Kind of description
        #[arg(long, value_enum)]
        kind: DescriptionKind,
        /// Print YAML instead of JSON
        #[arg(long)]
        yaml: bool,
    },
    /// Print the changes between two descriptions; exit with 1 if any change is breaking
    Diff {
        /// File of the old description
        old: PathBuf,
        /// File of the new description
        new: PathBuf,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Check recorded traffic against a description
    #[command(after_help = "Traffic is one JSON object per line:\n  \
        {\"method\":\"GET\",\"target\":\"/a?b=1\",\"answer\":{\"status\":200,\
        \"fields\":{\"Content-Type\":\"application/json\"},\"body\":{}}}\n  \
        {\"channel\":\"frames\",\"message\":\"A\",\"headers\":{},\"payload\":\"\"}")]
    Replay {
        /// File of the description
        description: PathBuf,
        /// File of the recorded traffic, or - for standard input
        traffic: PathBuf,
        #[command(flatten)]
        output: OutputOptions,
    },
}
