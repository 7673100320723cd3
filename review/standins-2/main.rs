//! Plays one case of the review: `standins CASE RECORD`. Exits with 0 if the rule held, with 1 if it was broken and with
//! 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod world;

use std::path::Path;
use std::process::ExitCode;
use world::{limit_run, Record, TempFolder, Verdict};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Ok(record), Ok(folder)) = (Record::new(Path::new(path)), TempFolder::new()) else {
        eprintln!("the record or a temporary folder can't be written");
        return ExitCode::from(2);
    };
    record.line(&format!("case {name}, {}", if trouble { "with its disruption" } else { "without its disruption" }));
    let Some(case) = cases::find(name) else {
        eprintln!("no case is called {name}");
        return ExitCode::from(2);
    };
    limit_run(&record, 112.0);
    let verdict = case(&record, &folder.0, trouble).unwrap_or_else(|error| Verdict::CouldNotRun(error.to_string()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    drop(folder);
    ExitCode::from(code)
}
