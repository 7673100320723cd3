//! Hosts the routing decisions of many coordinators on the simulator's wire: frames in on standard input, frames out
//! on standard output. It translates only; every decision is made by `cairnroad_routing`.

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
