//! The commands that check, show and compare. Each returns its exit code: 0 good, 1 what was checked is at fault or
//! differs, 2 something can't be read.

use crate::cli::{Contract, Kind, Output, Roster as RosterCommand};
use crate::{configuration, contract, discovery::file_source, published_descriptions};
use cairnroad_contract::diff::{diff, ChangeImpact};
use cairnroad_contract::document::to_yaml;
use cairnroad_contract::model::Description;
use cairnroad_contract::replay::replay;
use cairnroad_contract::{fault::Faults, publish};
use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use cairnroad_endpoint_files::fault::join_lines;
use cairnroad_endpoint_files::parse::parse_files;
use cairnroad_endpoint_files::render::to_toml;
use cairnroad_endpoint_files::snapshot_store::{replace_file, SnapshotStore, StateDirectory};
use cairnroad_endpoint_files::timestamp::format_timestamp;
use cairnroad_endpoint_files::update_plan::plan_update;
use cairnroad_endpoint_files::validation::{decide_update, validate, UpdateDecision};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;

/// What was checked is at fault, or differs so that something breaks.
const FAULTY: u8 = 1;
/// The command line is wrong, or something can't be read.
pub const UNREADABLE: u8 = 2;

/// Writes to standard output; a reader that has seen enough is no fault.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn complain(text: &str) {
    eprintln!("cairnroad: {text}");
}

/// `check-config`: the configuration with all descriptions that it names.
pub fn check_config(output: Output) -> u8 {
    let read = configuration::load(crate::variable).and_then(|config| {
        let faulty = contract::read(&config.contracts, config.backend)
            .into_iter()
            .filter_map(|(interface, held)| {
                let cause = held.err()?;
                Some(format!("contract.{interface}: {cause}"))
            });
        let faulty: Vec<String> = faulty.collect();
        if faulty.is_empty() {
            Ok(config)
        } else {
            Err(faulty.join("\n"))
        }
    });
    match (read, output.json) {
        (Ok(config), true) => print(&format!(
            "{}\n",
            json!({"sound": true, "effective": config.effective()})
        )),
        (Ok(config), false) => print(&to_yaml(&config.effective()).replacen("---\n", "", 1)),
        (Err(text), true) => {
            print(&format!(
                "{}\n",
                json!({"sound": false, "faults": text.lines().collect::<Vec<_>>()})
            ));
            return FAULTY;
        }
        (Err(text), false) => {
            complain(&text);
            return FAULTY;
        }
    }
    0
}

/// `contract ...`
pub fn contract(command: Contract) -> u8 {
    match command {
        Contract::Check { files, output } => check(&files, output),
        Contract::Show { kind, yaml } => show(kind, yaml),
        Contract::Diff { old, new, output } => compare(&old, &new, output),
        Contract::Replay {
            description,
            traffic,
            output,
        } => play(&description, &traffic, output),
    }
}

/// Whether a file was there to be read at all.
fn readable(path: &Path) -> Result<(), String> {
    let about = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
    match about.is_file() {
        true => std::fs::File::open(path)
            .map(drop)
            .map_err(|e| format!("{}: {e}", path.display())),
        false => Err(format!("{}: this is no plain file", path.display())),
    }
}

fn check(files: &[std::path::PathBuf], output: Output) -> u8 {
    let mut code = 0;
    for path in files {
        if let Err(text) = readable(path) {
            complain(&text);
            code = UNREADABLE;
            continue;
        }
        let name = path.display().to_string();
        match (Description::open(path), output.json) {
            (Ok(read), true) => print(&format!(
                "{}\n",
                json!({"file": name, "sound": true, "format": read.kind,
                "version": read.version, "title": read.title, "operations": read.operations.len(),
                "messages": read.messages.len(), "files": read.files().collect::<Vec<_>>()})
            )),
            (Ok(read), false) => {
                let (many, what) = match read.operations.len() {
                    0 => (read.messages.len(), "messages"),
                    many => (many, "operations"),
                };
                print(&format!(
                    "{name}: sound: {:?} {}, {}, {many} {what}\n",
                    read.kind, read.version, read.title
                ));
            }
            (Err(faults), true) => {
                print(&format!(
                    "{}\n",
                    json!({"file": name, "sound": false, "faults": faults.list, "more": faults.more})
                ));
                code = code.max(FAULTY);
            }
            (Err(faults), false) => {
                print(&format!("{faults}\n"));
                code = code.max(FAULTY);
            }
        }
    }
    code
}

fn show(kind: Kind, yaml: bool) -> u8 {
    let config = match configuration::load(crate::variable) {
        Ok(config) => config,
        Err(text) => {
            complain(&text);
            return UNREADABLE;
        }
    };
    let surface = published_descriptions::of(&config);
    let document = match kind {
        Kind::Openapi => publish::openapi(&surface),
        Kind::Asyncapi => publish::asyncapi(&surface),
    };
    print(&if yaml {
        to_yaml(&document)
    } else {
        pretty(&document)
    });
    0
}

fn pretty(value: &Value) -> String {
    // A value always has a text.
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

/// Reads a description that is used, not checked: whatever is wrong with it, the command can't be done.
fn open(path: &Path) -> Result<Description, u8> {
    let read = readable(path).map_err(|text| (text, UNREADABLE));
    let read = read.and_then(|()| {
        Description::open(path).map_err(|faults: Faults| (faults.to_string(), UNREADABLE))
    });
    read.map_err(|(text, code)| {
        complain(&text);
        code
    })
}

fn compare(old: &Path, new: &Path, output: Output) -> u8 {
    let (old, new) = match (open(old), open(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    let changes = match diff(&old, &new) {
        Ok(changes) => changes,
        Err(text) => {
            complain(&text.to_string());
            return UNREADABLE;
        }
    };
    match output.json {
        true => print(&format!("{}\n", json!({ "changes": changes }))),
        false if changes.is_empty() => print("no difference\n"),
        false => changes
            .iter()
            .for_each(|change| print(&format!("{change}\n"))),
    }
    if changes
        .iter()
        .any(|change| change.impact == ChangeImpact::Breaking)
    {
        FAULTY
    } else {
        0
    }
}

fn play(description: &Path, traffic: &Path, output: Output) -> u8 {
    let description = match open(description) {
        Ok(description) => description,
        Err(code) => return code,
    };
    let source: Box<dyn Read> = match traffic.as_os_str() == "-" {
        true => Box::new(std::io::stdin()),
        false => match std::fs::File::open(traffic) {
            Ok(file) => Box::new(file),
            Err(e) => {
                complain(&format!("{}: {e}", traffic.display()));
                return UNREADABLE;
            }
        },
    };
    let mut fault = None;
    let mut reader = BufReader::new(source);
    let lines = std::iter::from_fn(|| {
        let mut line = Vec::new();
        let most = cairnroad_contract::replay::MAX_LINE as u64 + 1;
        match reader.by_ref().take(most).read_until(b'\n', &mut line) {
            Ok(0) => None,
            Ok(_) => Some(line),
            Err(e) => {
                fault = Some(e);
                None
            }
        }
    });
    let outcome = replay(&description, lines);
    if let Some(e) = fault {
        complain(&format!("{}: {e}", traffic.display()));
        return UNREADABLE;
    }
    if output.json {
        print(&format!("{}\n", json!(outcome)));
    } else {
        let mut text = format!(
            "{} messages, {} departures\n",
            outcome.messages,
            outcome.departures.len()
        );
        for ((operation, place, kind), count) in outcome.table() {
            let kind = json!(kind);
            let kind = kind.as_str().unwrap_or("");
            text.push_str(&format!("{count:6}  {kind:14} {operation}, {place}\n"));
        }
        for found in &outcome.departures {
            let departure = &found.departure;
            text.push_str(&format!(
                "line {}: {} {}, {}: wanted {}, found {} (see {})\n",
                found.line,
                found.operation,
                found.side,
                departure.place,
                departure.expected,
                departure.found,
                departure.described
            ));
        }
        for (line, cause) in &outcome.unreadable {
            text.push_str(&format!("line {line}: can't be read: {cause}\n"));
        }
        print(&text);
    }
    match (outcome.unreadable.is_empty(), outcome.departures.is_empty()) {
        (false, _) => UNREADABLE,
        (true, false) => FAULTY,
        (true, true) => 0,
    }
}

/// `roster ...`
pub fn roster(command: RosterCommand) -> u8 {
    let done = match command {
        RosterCommand::Check { path, output } => check_roster(path.as_deref(), output),
        RosterCommand::Diff { new, old, output } => compare_rosters(&new, old.as_deref(), output),
        RosterCommand::Show(output) => show_roster(output),
        RosterCommand::Apply { new, allow_shrink } => apply_roster(&new, allow_shrink),
    };
    done.unwrap_or_else(|(code, text)| {
        complain(&text);
        code
    })
}

/// The roster's source in the configuration.
fn source() -> Result<configuration::Source, (u8, String)> {
    let config = configuration::load(crate::variable).map_err(|text| (UNREADABLE, text))?;
    let cause =
        "'membership.source' is not \"files\" in the project's own file: there is no roster";
    config.files.ok_or((UNREADABLE, cause.into()))
}

fn read_roster(path: &Path) -> Result<EndpointSet, (u8, String)> {
    std::fs::metadata(path).map_err(|e| (UNREADABLE, format!("{}: {e}", path.display())))?;
    parse_files(&file_source::read_files(path)).map_err(|faults| (FAULTY, join_lines(&faults)))
}

fn check_roster(path: Option<&Path>, output: Output) -> Result<u8, (u8, String)> {
    let source = source()?;
    let path = path.unwrap_or(&source.path);
    std::fs::metadata(path).map_err(|e| (UNREADABLE, format!("{}: {e}", path.display())))?;
    let read = parse_files(&file_source::read_files(path));
    let faults = match &read {
        Ok(roster) => validate(roster, &source.layout),
        Err(faults) => faults.clone(),
    };
    match (&read, output.json) {
        (Ok(roster), false) if faults.is_empty() => print(&format!(
            "{}: sound: generation {}, {} servers, {} of them active\n",
            path.display(),
            roster.generation,
            roster.endpoints.len(),
            roster.active_count()
        )),
        (_, false) => print(&format!("{}\n", join_lines(&faults))),
        (_, true) => {
            let generation = read.as_ref().ok().map(|roster| roster.generation);
            print(&format!(
                "{}\n",
                json!({"sound": faults.is_empty(), "generation": generation, "faults": faults})
            ));
        }
    }
    Ok(if faults.is_empty() { 0 } else { FAULTY })
}

fn compare_rosters(new: &Path, old: Option<&Path>, output: Output) -> Result<u8, (u8, String)> {
    let source = source()?;
    let (old, new) = (read_roster(old.unwrap_or(&source.path))?, read_roster(new)?);
    let plan = plan_update(&old, &new, &source.layout);
    print(&if output.json {
        format!("{}\n", json!(plan))
    } else {
        plan.to_string()
    });
    Ok(0)
}

fn show_roster(output: Output) -> Result<u8, (u8, String)> {
    let source = source()?;
    let cause = "'membership.state' is not set in the project's own file: no list is kept";
    let folder = source.state.ok_or((UNREADABLE, cause.to_string()))?;
    let recovery = SnapshotStore::new(StateDirectory(folder.clone())).recover();
    recovery
        .unusable
        .iter()
        .for_each(|cause| complain(&format!("{}: {cause}", folder.display())));
    let kept = recovery.snapshot.ok_or((
        UNREADABLE,
        format!("{}: no list is kept here", folder.display()),
    ))?;
    match output.json {
        true => print(&format!(
            "{}\n",
            json!({"since": kept.saved_at, "roster": kept.endpoint_set})
        )),
        false => print(&format!(
            "# in force since {}\n{}",
            format_timestamp(kept.saved_at),
            to_toml(&kept.endpoint_set)
        )),
    }
    Ok(0)
}

fn apply_roster(new: &Path, allow_shrink: bool) -> Result<u8, (u8, String)> {
    let source = source()?;
    let mut roster = read_roster(new)?;
    // What is in force: the files as they stand or, where they are broken, what was kept.
    let kept = source
        .state
        .clone()
        .and_then(|folder| {
            SnapshotStore::new(StateDirectory(folder))
                .recover()
                .snapshot
        })
        .map(|kept| kept.endpoint_set);
    let standing = parse_files(&file_source::read_files(&source.path)).ok();
    let old = [standing, kept]
        .into_iter()
        .flatten()
        .max_by_key(|roster| roster.generation);
    roster.generation = old.as_ref().map_or(0, |old| old.generation) + 1;
    roster.allow_shrink |= allow_shrink;
    if let UpdateDecision::Reject(faults) =
        decide_update(old.as_ref(), &roster, &source.layout, source.shrink)
    {
        return Err((
            FAULTY,
            format!("nothing was written: {}", join_lines(&faults)),
        ));
    }
    let failed = |path: &Path, e: std::io::Error| (UNREADABLE, format!("{}: {e}", path.display()));
    let folder = source.path.is_dir();
    let target = if folder {
        source.path.join("roster.toml")
    } else {
        source.path.clone()
    };
    replace_file(&target, to_toml(&roster).as_bytes()).map_err(|e| failed(&target, e))?;
    // Until the last file of the old generation is gone, the folder is refused as a mix.
    for file in file_source::read_files(&source.path)
        .iter()
        .filter(|file| folder && file.name != "roster.toml")
    {
        let path = source.path.join(&file.name);
        std::fs::remove_file(&path).map_err(|e| failed(&path, e))?;
    }
    let plan = plan_update(&old.unwrap_or_default(), &roster, &source.layout);
    print(&format!(
        "generation {} written to {}\n{plan}",
        roster.generation,
        target.display()
    ));
    Ok(0)
}
