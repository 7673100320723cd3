//! The cairnroad coordinator: accepts queries from clients on two fronts, routes their parts as decided by
//! `cairnroad_routing`, and sends them to servers over one of two backends. See `ARCHITECTURE.md`.
//!
//! `main` parses the command line. `server` runs the coordinator; `commands` implements all other commands.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod admin_api;
mod backends;
mod cli;
mod clock;
mod cluster;
mod commands;
mod configuration;
mod connections;
mod contract;
mod discovery;
#[cfg(test)]
mod errors_page;
mod fronts;
mod http;
mod memory;
mod messages;
mod observability;
#[cfg(test)]
mod parser_tests;
mod pipeline;
mod published_descriptions;
mod server;
mod signals;
mod socket_activation;
mod timer_wheel;

use clap::Parser;
use cli::{Cli, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::parse().command {
        None | Some(Command::Serve) => serve(),
        Some(Command::CheckConfig(output)) => commands::check_config(output).into(),
        Some(Command::Roster(command)) => commands::roster(command).into(),
        Some(Command::Contract(command)) => commands::contract(command).into(),
    }
}

fn serve() -> ExitCode {
    match server::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cairnroad: {error}");
            ExitCode::FAILURE
        }
    }
}
