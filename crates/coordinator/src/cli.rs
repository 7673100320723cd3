//! The command line. `docs/CLI.md` describes it.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// The coordinator: takes queries from clients, sends their parts to servers, gives one final answer to each.
#[derive(Debug, Parser)]
#[command(name = "cairnroad", version, arg_required_else_help = false)]
#[command(
    after_help = "Without a command, the coordinator is run. The configuration is the JSON file that NODE_CONFIG \
    names and deploy/cairnroad.toml, or the file that CAIRNROAD_FILE names.\n\n\
    Exit codes: 0 good, 1 what was checked is at fault or differs, 2 usage, or something can't be read."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the coordinator (the default)
    Serve,
    /// Read all configuration and print what takes effect
    #[command(
        after_help = "Example:\n  NODE_CONFIG=/run/balancer/config.json cairnroad check-config"
    )]
    CheckConfig(Output),
    /// Descriptions of interfaces, in OpenAPI and AsyncAPI
    #[command(subcommand)]
    Contract(Contract),
    /// The list of servers in files
    #[command(subcommand)]
    Roster(Roster),
}

#[derive(Debug, Subcommand)]
pub enum Roster {
    /// Read a roster and print all its faults; without PATH, the configured one
    Check {
        /// The folder of its files, or its one file
        path: Option<PathBuf>,
        #[command(flatten)]
        output: Output,
    },
    /// Print what a roster would do in place of another
    #[command(after_help = "Example:\n  cairnroad roster diff storm/ servers.d/")]
    Diff {
        /// The new one
        new: PathBuf,
        /// The old one; without it, the configured one
        old: Option<PathBuf>,
        #[command(flatten)]
        output: Output,
    },
    /// Print the list that was kept last: what is in force and since when
    Show(Output),
    /// Check a roster and put it in the configured one's place, as one file and one generation more
    Apply {
        /// The new one: a folder or a file
        new: PathBuf,
        /// It may take away more servers than is usual
        #[arg(long)]
        allow_shrink: bool,
    },
}

#[derive(Clone, Copy, Debug, Args)]
pub struct Output {
    /// Print JSON, for programs
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Kind {
    /// The HTTP interfaces
    Openapi,
    /// The wires to servers and discovery
    Asyncapi,
}

#[derive(Debug, Subcommand)]
pub enum Contract {
    /// Read descriptions and print all their faults
    #[command(after_help = "Example:\n  cairnroad contract check nodes.yaml clients.json")]
    Check {
        /// The descriptions
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        output: Output,
    },
    /// Print this coordinator's own description, as it is configured
    #[command(
        after_help = "Example:\n  NODE_CONFIG=config.json cairnroad contract show --kind openapi --yaml"
    )]
    Show {
        /// Which one
        #[arg(long, value_enum)]
        kind: Kind,
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
        output: Output,
    },
    /// Hold recorded traffic against a description
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
        output: Output,
    },
}
