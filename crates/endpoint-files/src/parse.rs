//! A roster's files as one list, with all that is wrong in them.

use crate::endpoint_set::{Endpoint, EndpointSet, Fault, Phase};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::{Spanned, Table, Value};

/// The largest file that is read, and all of them together, in bytes: a server takes some 150.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;
/// The most files of a folder.
pub const MAX_FILES: usize = 256;
/// The most servers. All walks over a list are linear or nearly so.
pub const MAX_ENDPOINTS: usize = 50_000;
/// The most faults that are told.
pub const MAX_FAULTS: usize = 100;
/// The longest id, locality or kind, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// The largest weight. Larger ones would leave the others turns too rare to learn from.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// The last line of every file. A file that is cut may still be sound TOML, with some servers less or a digit less of
/// a weight: nothing else tells.
pub const END_MARK: &str = "# end";

/// A file by its name, and its text or why there is none.
pub type File = (String, Result<String, String>);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    generation: Option<Spanned<Value>>,
    allow_shrink: Option<Spanned<Value>>,
    #[serde(default)]
    server: Vec<Spanned<Table>>,
    #[serde(default)]
    weights: BTreeMap<String, Spanned<Value>>,
}

/// Everything found so far, over all files.
#[derive(Default)]
struct Collector {
    faults: Vec<Fault>,
    generations: Vec<(String, usize, u64)>,
    allow_shrink: bool,
    servers: BTreeMap<String, Endpoint>,
    /// Where each id and address was first named.
    ids: BTreeMap<String, (String, usize)>,
    addresses: BTreeMap<SocketAddr, (String, usize)>,
    /// Which servers told a weight beside their address, and the weights of files of their own.
    weighed: BTreeMap<String, (String, usize)>,
    weights: BTreeMap<String, (f64, String, usize)>,
}

/// Reads all files of a roster.
pub fn parse_files(files: &[File]) -> Result<EndpointSet, Vec<Fault>> {
    let mut found = Collector::default();
    if files.is_empty() {
        found.fault("", 0, "there is no roster file (*.toml)");
    }
    if files.len() > MAX_FILES {
        found.fault(
            "",
            0,
            format!("there are {} files: {MAX_FILES} at most", files.len()),
        );
    }
    let bytes: usize = files
        .iter()
        .filter_map(|(_, text)| Some(text.as_ref().ok()?.len()))
        .sum();
    if bytes > MAX_BYTES {
        found.fault(
            "",
            0,
            format!("the files have {bytes} bytes together: {MAX_BYTES} at most"),
        );
        return Err(found.faults);
    }
    for (name, text) in files {
        match text {
            Ok(text) => found.file(name, text),
            Err(cause) => found.fault(name, 0, cause.clone()),
        }
    }
    found.finish()
}

/// Where lines begin, for looking up the line of each of thousands of entries.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn of(text: &str) -> LineIndex {
        let ends = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        LineIndex(
            std::iter::once(0)
                .chain(ends.map(|(at, _)| at + 1))
                .collect(),
        )
    }

    /// The line of a byte, from 1.
    fn at(&self, byte: usize) -> usize {
        self.0.partition_point(|&start| start <= byte)
    }
}

impl Collector {
    fn fault(&mut self, file: &str, line: usize, cause: impl Into<String>) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault {
                file: file.into(),
                line,
                cause: cause.into(),
            });
        }
    }

    fn file(&mut self, name: &str, text: &str) {
        if text.trim().is_empty() {
            return self.fault(name, 0, "the file is empty: it may be half-written");
        }
        let lines = LineIndex::of(text);
        let form: Document = match toml::from_str(text) {
            Ok(form) => form,
            Err(e) => {
                let at = e.span().map_or(0, |span| lines.at(span.start));
                let cause = e.message().trim().replace('\n', ": ");
                let cause = match cause.starts_with("unknown field") {
                    true => cause,
                    false => format!("this is no TOML, or half-written: {cause}"),
                };
                return self.fault(name, at, cause);
            }
        };
        if text
            .trim_end()
            .lines()
            .last()
            .is_none_or(|last| last.trim() != END_MARK)
        {
            let last = text.lines().count();
            let cause = format!(
                "the last line must be '{END_MARK}': a file without it may be half-written"
            );
            self.fault(name, last, cause);
        }
        match form.generation {
            None => self.fault(
                name,
                0,
                "'generation' is missing: every file of a roster carries the same",
            ),
            Some(value) => {
                let at = lines.at(value.span().start);
                match value.into_inner() {
                    Value::Integer(generation) if generation > 0 => {
                        self.generations.push((name.into(), at, generation as u64));
                    }
                    other => self.fault(
                        name,
                        at,
                        format!("'generation': {other} is no whole number above 0"),
                    ),
                }
            }
        }
        if let Some(value) = form.allow_shrink {
            let at = lines.at(value.span().start);
            match value.into_inner() {
                Value::Boolean(allow) => self.allow_shrink |= allow,
                other => self.fault(
                    name,
                    at,
                    format!("'allow_shrink': {other} is neither true nor false"),
                ),
            }
        }
        for entry in form.server {
            let at = lines.at(entry.span().start);
            self.server(name, at, entry.into_inner());
        }
        for (id, value) in form.weights {
            let at = lines.at(value.span().start);
            let Some(weight) = self.weight(name, at, &value.into_inner()) else {
                continue;
            };
            if let Some((_, file, line)) = self.weights.get(&id) {
                let cause = format!("the weight of '{id}' stands in {file}:{line}, too");
                self.fault(name, at, cause);
            } else {
                self.weights.insert(id, (weight, name.into(), at));
            }
        }
    }

    fn weight(&mut self, file: &str, at: usize, value: &Value) -> Option<f64> {
        let weight = match value {
            Value::Integer(whole) => *whole as f64,
            Value::Float(weight) => *weight,
            other => {
                self.fault(file, at, format!("'weight': {other} is no number"));
                return None;
            }
        };
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            self.fault(
                file,
                at,
                format!("'weight': {weight} is not from 0 to {MAX_WEIGHT}"),
            );
            return None;
        }
        Some(weight)
    }

    fn server(&mut self, file: &str, at: usize, mut entry: Table) {
        let before = self.faults.len();
        let word = |found: &mut Collector, entry: &mut Table, key: &str| match entry.remove(key) {
            None => None,
            Some(Value::String(text)) if text.len() <= MAX_TEXT_BYTES => Some(text),
            Some(Value::String(_)) => {
                found.fault(
                    file,
                    at,
                    format!("'{key}' has more than {MAX_TEXT_BYTES} bytes"),
                );
                None
            }
            Some(other) => {
                found.fault(file, at, format!("'{key}': {other} is no text"));
                None
            }
        };
        let id = word(self, &mut entry, "id");
        let address = word(self, &mut entry, "address");
        let locality = word(self, &mut entry, "locality").unwrap_or_default();
        let kind = word(self, &mut entry, "kind").unwrap_or_default();
        let phase = match word(self, &mut entry, "phase").as_deref() {
            None | Some("active") => Phase::Active,
            Some("leaving") => Phase::Draining,
            Some(other) => {
                self.fault(
                    file,
                    at,
                    format!("'phase': '{other}' is neither active nor leaving"),
                );
                Phase::Draining
            }
        };
        let cell = match entry.remove("cell") {
            Some(Value::Integer(cell)) if u32::try_from(cell).is_ok() => cell as u32,
            Some(other) => {
                self.fault(file, at, format!("'cell': {other} is no cell's number"));
                0
            }
            None => {
                self.fault(
                    file,
                    at,
                    "'cell' is missing: it tells which shards the server holds",
                );
                0
            }
        };
        let weight = entry
            .remove("weight")
            .map(|value| self.weight(file, at, &value));
        let mut moment = |found: &mut Collector, key: &str| match entry.remove(key) {
            None => None,
            Some(Value::Datetime(time)) => {
                let secs = unix_seconds(&time);
                if secs.is_none() {
                    found.fault(
                        file,
                        at,
                        format!("'{key}': {time} needs a date, a time and an offset, such as Z"),
                    );
                }
                secs
            }
            Some(other) => {
                found.fault(
                    file,
                    at,
                    format!("'{key}': {other} is no time, such as 2026-12-01T06:00:00Z"),
                );
                None
            }
        };
        let (started, not_before, not_after) = (
            moment(self, "started"),
            moment(self, "not_before"),
            moment(self, "not_after"),
        );
        if let (Some(from), Some(to)) = (not_before, not_after) {
            if from >= to {
                self.fault(file, at, "'not_after' is not later than 'not_before'");
            }
        }
        for key in entry.keys() {
            let known =
                "id, address, cell, locality, kind, phase, weight, started, not_before, not_after";
            self.fault(file, at, format!("'{key}' is not known: {known} are"));
        }
        let Some(id) = id.filter(|id| !id.is_empty()) else {
            return self.fault(file, at, "'id' is missing");
        };
        let Some(address) = address else {
            return self.fault(file, at, format!("'address' of '{id}' is missing"));
        };
        let Ok(address) = address.parse::<SocketAddr>() else {
            return self.fault(
                file,
                at,
                format!("'address' of '{id}': '{address}' is no address and port"),
            );
        };
        if let Some((other, line)) = self.ids.get(&id) {
            let cause = format!("the server '{id}' is named twice: also in {other}:{line}");
            return self.fault(file, at, cause);
        }
        if let Some((other, line)) = self.addresses.get(&address) {
            let cause =
                format!("the address {address} of '{id}' is named twice: also in {other}:{line}");
            return self.fault(file, at, cause);
        }
        self.ids.insert(id.clone(), (file.into(), at));
        self.addresses.insert(address, (file.into(), at));
        if weight.is_some() {
            self.weighed.insert(id.clone(), (file.into(), at));
        }
        if self.faults.len() > before {
            return;
        }
        let weight = weight.flatten().unwrap_or(1.0);
        let server = Endpoint {
            address,
            cell,
            locality,
            kind,
            phase,
            weight,
            started,
            not_before,
            not_after,
        };
        self.servers.insert(id, server);
    }

    fn finish(mut self) -> Result<EndpointSet, Vec<Fault>> {
        for (id, (weight, file, at)) in std::mem::take(&mut self.weights) {
            if let Some((other, line)) = self.weighed.get(&id) {
                let cause = format!("the weight of '{id}' stands in {other}:{line}, too");
                self.fault(&file, at, cause);
            } else if let Some(server) = self.servers.get_mut(&id) {
                server.weight = weight;
            } else if !self.ids.contains_key(&id) {
                self.fault(&file, at, format!("there is no server '{id}'"));
            }
        }
        let newest = self
            .generations
            .iter()
            .map(|(_, _, generation)| *generation)
            .max()
            .unwrap_or(0);
        for (file, at, generation) in std::mem::take(&mut self.generations) {
            if generation != newest {
                let cause = format!(
                    "this file is of generation {generation}, another of {newest}: write all of them"
                );
                self.fault(&file, at, cause);
            }
        }
        if self.servers.len() > MAX_ENDPOINTS {
            let cause = format!(
                "there are {} servers: {MAX_ENDPOINTS} at most",
                self.servers.len()
            );
            self.fault("", 0, cause);
        }
        match self.faults.is_empty() {
            true => Ok(EndpointSet {
                generation: newest,
                allow_shrink: self.allow_shrink,
                endpoints: self.servers,
            }),
            false => Err(self.faults),
        }
    }
}

/// A moment with its offset in Unix seconds.
fn unix_seconds(time: &toml::value::Datetime) -> Option<f64> {
    let (date, clock) = (time.date?, time.time?);
    let offset = match time.offset? {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    // Days since 1970 of a date of the Gregorian calendar: years begin in March, so that leap days come last.
    let (year, month) = (i64::from(date.year), i64::from(date.month));
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + i64::from(date.day) - 1;
    let days = era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468;
    let secs = days * 86_400
        + i64::from(clock.hour) * 3_600
        + i64::from(clock.minute) * 60
        + i64::from(clock.second.unwrap_or(0))
        - offset * 60;
    Some(secs as f64 + f64::from(clock.nanosecond.unwrap_or(0)) / 1e9)
}

/// A roster as one file's text, which reads as the same roster.
pub fn to_toml(roster: &EndpointSet) -> String {
    let mut out = format!("generation = {}\n", roster.generation);
    if roster.allow_shrink {
        out.push_str("allow_shrink = true\n");
    }
    let quoted = |text: &str| Value::String(text.into()).to_string();
    for (id, server) in &roster.endpoints {
        out.push_str(&format!(
            "\n[[server]]\nid = {}\naddress = \"{}\"\n",
            quoted(id),
            server.address
        ));
        out.push_str(&format!(
            "cell = {}\nweight = {:?}\n",
            server.cell, server.weight
        ));
        for (key, text) in [("locality", &server.locality), ("kind", &server.kind)] {
            if !text.is_empty() {
                out.push_str(&format!("{key} = {}\n", quoted(text)));
            }
        }
        if server.phase == Phase::Draining {
            out.push_str("phase = \"leaving\"\n");
        }
        let moments = [
            ("started", server.started),
            ("not_before", server.not_before),
            ("not_after", server.not_after),
        ];
        for (key, at) in moments {
            if let Some(at) = at {
                out.push_str(&format!("{key} = {}\n", format_timestamp(at)));
            }
        }
    }
    out.push_str(&format!("\n{END_MARK}\n"));
    out
}

/// A moment in TOML's form, to the millisecond.
pub fn format_timestamp(at: f64) -> String {
    let millis = (at * 1000.0).round() as i64;
    let (days, rest) = (millis.div_euclid(86_400_000), millis.rem_euclid(86_400_000));
    let shifted = days + 719_468;
    let (era, of_era) = (shifted.div_euclid(146_097), shifted.rem_euclid(146_097));
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march = (5 * of_year + 2) / 153;
    let (day, month) = (
        of_year - (153 * march + 2) / 5 + 1,
        if march < 10 { march + 3 } else { march - 9 },
    );
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let (secs, ms) = (rest / 1000, rest % 1000);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{ms:03}Z",
        secs / 3600,
        secs / 60 % 60,
        secs % 60
    )
}
