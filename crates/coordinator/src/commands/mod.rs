//! The commands that check, show, compare and apply configuration, one module per command.
//!
//! Results go to standard output and errors to standard error; the exit code is that of [`CommandStatus`].

mod check_config;
mod contract;
mod error;
mod output;
mod roster;

use crate::cli::{ContractCommand, OutputOptions, RosterCommand};
use error::CommandError;
use std::process::ExitCode;

/// The result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command succeeded and found no fault (exit code 0).
    Success,
    /// The input that was checked has faults, or a change breaks compatibility (exit code 1).
    FaultsFound,
    /// The command line is wrong, or a file can't be read or written (exit code 2).
    InputError,
}

impl CommandStatus {
    /// Returns [`FaultsFound`](CommandStatus::FaultsFound) if there is any fault, otherwise `Success`.
    fn from_faults(any_fault: bool) -> CommandStatus {
        match any_fault {
            true => CommandStatus::FaultsFound,
            false => CommandStatus::Success,
        }
    }

    /// Returns the worse of two results: the one with the higher exit code.
    fn max_severity(self, other: CommandStatus) -> CommandStatus {
        match self.code() >= other.code() {
            true => self,
            false => other,
        }
    }

    fn code(self) -> u8 {
        match self {
            CommandStatus::Success => 0,
            CommandStatus::FaultsFound => 1,
            CommandStatus::InputError => 2,
        }
    }
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}

/// Runs `check-config`.
pub fn check_config(output: OutputOptions) -> CommandStatus {
    check_config::run(output)
}

/// Runs a `contract` subcommand.
pub fn contract(command: ContractCommand) -> CommandStatus {
    status_or_print_error(match command {
        ContractCommand::Check { files, output } => Ok(contract::check(&files, output)),
        ContractCommand::Show { kind, yaml } => contract::show(kind, yaml),
        ContractCommand::Diff { old, new, output } => contract::diff(&old, &new, output),
        ContractCommand::Replay {
            description,
            traffic,
            output,
        } => contract::replay(&description, &traffic, output),
    })
}

/// Runs a `roster` subcommand.
pub fn roster(command: RosterCommand) -> CommandStatus {
    status_or_print_error(match command {
        RosterCommand::Check { path, output } => roster::check(path.as_deref(), output),
        RosterCommand::Diff { new, old, output } => roster::diff(&new, old.as_deref(), output),
        RosterCommand::Show(output) => roster::show(output),
        RosterCommand::Apply { new, allow_shrink } => roster::apply(&new, allow_shrink),
    })
}

/// Returns the status of a command, and prints the error of a command that failed.
fn status_or_print_error(result: Result<CommandStatus, CommandError>) -> CommandStatus {
    result.unwrap_or_else(|error| {
        output::print_error(&error);
        error.status()
    })
}
