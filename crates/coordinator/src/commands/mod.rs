//! The commands that check, show and compare, a module each.
//!
//! Results go to standard output, errors to standard error; the exit code tells programs which it was.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod check_config;
mod contract;
mod error;
mod output;
mod roster;

use crate::cli::{ContractCommand, OutputOptions, RosterCommand};
use error::CommandError;
use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// What was asked for is done, and nothing is at fault.
    Success,
    /// What was checked is at fault, or differs so that something breaks.
    Faulty,
    /// The command line is wrong, or something can't be read.
    Unreadable,
}

impl CommandStatus {
    /// [`Faulty`](CommandStatus::Faulty) if there is any fault.
    fn of(faulty: bool) -> CommandStatus {
        match faulty {
            true => CommandStatus::Faulty,
            false => CommandStatus::Success,
        }
    }

    /// The worse of two.
    fn or_worse(self, other: CommandStatus) -> CommandStatus {
        match self.code() >= other.code() {
            true => self,
            false => other,
        }
    }

    fn code(self) -> u8 {
        match self {
            CommandStatus::Success => 0,
            CommandStatus::Faulty => 1,
            CommandStatus::Unreadable => 2,
        }
    }
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}

/// `check-config`
pub fn check_config(output: OutputOptions) -> CommandStatus {
    check_config::run(output)
}

/// `contract ...`
pub fn contract(command: ContractCommand) -> CommandStatus {
    status_of(match command {
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

/// `roster ...`
pub fn roster(command: RosterCommand) -> CommandStatus {
    status_of(match command {
        RosterCommand::Check { path, output } => roster::check(path.as_deref(), output),
        RosterCommand::Diff { new, old, output } => roster::diff(&new, old.as_deref(), output),
        RosterCommand::Show(output) => roster::show(output),
        RosterCommand::Apply { new, allow_shrink } => roster::apply(&new, allow_shrink),
    })
}

/// Reports the error of a command that failed.
fn status_of(result: Result<CommandStatus, CommandError>) -> CommandStatus {
    result.unwrap_or_else(|error| {
        output::report(&error);
        error.status()
    })
}
