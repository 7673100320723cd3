//! Runs the routing decisions of many coordinators under the operators' simulator: reads batches of events from
//! standard input and writes the resulting actions to standard output, both as binary frames.
//!
//! This program only translates between the simulator's protocol and `cairnroad_routing`, which makes every decision.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod codec;
mod host;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::new(io::stdin().lock());
    let output = BufWriter::new(io::stdout().lock());
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cairnroad-simulator-host: {error}");
            ExitCode::FAILURE
        }
    }
}
