//! The commands that check, show and compare, a module each.
//!
//! Results go to standard output, errors to standard error; the exit code tells programs which it was.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod check_config;
mod contract;
mod error;
mod output;
mod roster;

use crate::cli;
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
pub fn check_config(output: cli::Output) -> CommandStatus {
    check_config::run(output)
}

/// `contract ...`
pub fn contract(command: cli::Contract) -> CommandStatus {
    status_of(match command {
        cli::Contract::Check { files, output } => Ok(contract::check(&files, output)),
        cli::Contract::Show { kind, yaml } => contract::show(kind, yaml),
        cli::Contract::Diff { old, new, output } => contract::diff(&old, &new, output),
        cli::Contract::Replay {
            description,
            traffic,
            output,
        } => contract::replay(&description, &traffic, output),
    })
}

/// `roster ...`
pub fn roster(command: cli::Roster) -> CommandStatus {
    status_of(match command {
        cli::Roster::Check { path, output } => roster::check(path.as_deref(), output),
        cli::Roster::Diff { new, old, output } => roster::diff(&new, old.as_deref(), output),
        cli::Roster::Show(output) => roster::show(output),
        cli::Roster::Apply { new, allow_shrink } => roster::apply(&new, allow_shrink),
    })
}

/// Reports the error of a command that failed.
fn status_of(result: Result<CommandStatus, CommandError>) -> CommandStatus {
    result.unwrap_or_else(|error| {
        output::report(&error);
        error.status()
    })
}
