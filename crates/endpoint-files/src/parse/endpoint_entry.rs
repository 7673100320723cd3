//! Parses one `[[server]]` entry, key by key.

use super::fault_list::FaultList;
use crate::endpoint_set::Phase;
use crate::fault::{FaultCause, Location};
use crate::file_format::{MAX_TEXT_BYTES, MAX_WEIGHT};
use crate::timestamp::{unix_seconds, UnixSeconds};
use toml::{Table, Value};

/// Weight of an entry that states none.
const DEFAULT_WEIGHT: f64 = 1.0;
/// The keys of an entry, in the order in which faults list them.
const KNOWN_KEYS: [&str; 10] = [
    "id",
    "address",
    "cell",
    "locality",
    "kind",
    "phase",
    "weight",
    "started",
    "not_before",
    "not_after",
];

/// The values of an entry. An invalid value is replaced by its default, and its fault is in the fault list.
pub(super) struct EntryFields {
    pub(super) id: Option<String>,
    pub(super) address: Option<String>,
    pub(super) cell: u32,
    pub(super) locality: String,
    pub(super) kind: String,
    pub(super) phase: Phase,
    pub(super) weight: f64,
    /// Whether the entry states a weight, so that a `[weights]` table must not state one for it.
    pub(super) states_weight: bool,
    pub(super) started: Option<UnixSeconds>,
    pub(super) not_before: Option<UnixSeconds>,
    pub(super) not_after: Option<UnixSeconds>,
    /// Whether any value is invalid.
    pub(super) is_faulty: bool,
}

/// Takes the known keys out of an entry's table; the keys that are left at the end are unknown.
pub(super) struct EntryReader<'a> {
    table: Table,
    location: &'a Location,
    faults: &'a mut FaultList,
}

impl EntryReader<'_> {
    /// Reads an entry's values and reports all their faults.
    pub(super) fn read(table: Table, location: &Location, faults: &mut FaultList) -> EntryFields {
        let faults_before = faults.len();
        let states_weight = table.contains_key("weight");
        let mut reader = EntryReader {
            table,
            location,
            faults,
        };
        let mut fields = EntryFields {
            id: reader.text("id"),
            address: reader.text("address"),
            locality: reader.text("locality").unwrap_or_default(),
            kind: reader.text("kind").unwrap_or_default(),
            phase: reader.phase(),
            cell: reader.cell(),
            weight: reader.weight(),
            states_weight,
            started: reader.timestamp("started"),
            not_before: reader.timestamp("not_before"),
            not_after: reader.timestamp("not_after"),
            is_faulty: false,
        };
        reader.check_active_period(fields.not_before, fields.not_after);
        reader.reject_unknown_keys();
        fields.is_faulty = faults.len() > faults_before;
        fields
    }

    fn fault(&mut self, cause: FaultCause) {
        self.faults.add(self.location, cause);
    }

    fn text(&mut self, key: &'static str) -> Option<String> {
        match self.table.remove(key)? {
            Value::String(text) if text.len() <= MAX_TEXT_BYTES => return Some(text),
            Value::String(_) => self.fault(FaultCause::TextTooLong { key }),
            value => self.fault(FaultCause::NotText { key, value }),
        }
        None
    }

    fn phase(&mut self) -> Phase {
        match self.text("phase").as_deref() {
            None | Some("active") => Phase::Active,
            Some("leaving") => Phase::Draining,
            Some(other) => {
                let value = other.into();
                self.fault(FaultCause::UnknownPhase { value });
                Phase::Draining
            }
        }
    }

    fn cell(&mut self) -> u32 {
        match self.table.remove("cell") {
            Some(Value::Integer(cell)) if u32::try_from(cell).is_ok() => return cell as u32,
            Some(value) => self.fault(FaultCause::InvalidCell { value }),
            None => self.fault(FaultCause::MissingCell),
        }
        0
    }

    fn weight(&mut self) -> f64 {
        self.table
            .remove("weight")
            .and_then(|value| parse_weight(value, self.location, self.faults))
            .unwrap_or(DEFAULT_WEIGHT)
    }

    fn timestamp(&mut self, key: &'static str) -> Option<UnixSeconds> {
        match self.table.remove(key)? {
            Value::Datetime(datetime) => {
                let seconds = unix_seconds(&datetime);
                if seconds.is_none() {
                    let value = Value::Datetime(datetime);
                    self.fault(FaultCause::IncompleteTimestamp { key, value });
                }
                seconds
            }
            value => {
                self.fault(FaultCause::NotATimestamp { key, value });
                None
            }
        }
    }

    fn check_active_period(&mut self, from: Option<UnixSeconds>, to: Option<UnixSeconds>) {
        if let (Some(from), Some(to)) = (from, to) {
            if from >= to {
                self.fault(FaultCause::EmptyActivePeriod);
            }
        }
    }

    fn reject_unknown_keys(&mut self) {
        for (key, _) in std::mem::take(&mut self.table) {
            let known = KNOWN_KEYS.join(", ");
            self.fault(FaultCause::UnknownKey { key, known });
        }
    }
}

/// Parses a weight of an entry or of a `[weights]` table; `None` if it is invalid, which is reported as a fault.
pub(super) fn parse_weight(
    value: Value,
    location: &Location,
    faults: &mut FaultList,
) -> Option<f64> {
    let weight = match value {
        Value::Integer(number) => number as f64,
        Value::Float(number) => number,
        value => {
            faults.add(location, FaultCause::WeightNotANumber { value });
            return None;
        }
    };
    if !(0.0..=MAX_WEIGHT).contains(&weight) {
        faults.add(location, FaultCause::WeightOutOfRange { weight });
        return None;
    }
    Some(weight)
}
