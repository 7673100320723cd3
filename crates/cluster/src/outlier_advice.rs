//! Which data nodes that other coordinators report as outliers are treated as such.

use std::collections::BTreeMap;

/// Fewest coordinators that have to report a data node: one alone may be cut off from it.
const MIN_REPORTERS: usize = 2;
/// Smallest share of live coordinators that have to report it: among many, some always have bad luck.
const MIN_REPORTER_SHARE: f64 = 0.05;
/// Where more than this share of the data nodes is reported, the fault is elsewhere and no report is used.
const MAX_OUTLIER_SHARE: f64 = 0.34;

/// The data nodes that enough coordinators report as outliers.
///
/// `report_counts` says for each data node how many other coordinators report it, `live_members` how many coordinators
/// are live, and `listed_servers` how many data nodes this coordinator's own endpoint list names.
pub fn confirmed_outliers(
    report_counts: &BTreeMap<String, usize>,
    live_members: usize,
    listed_servers: usize,
) -> Vec<String> {
    let reporter_share = (MIN_REPORTER_SHARE * live_members as f64).ceil() as usize;
    let required_reports = MIN_REPORTERS.max(reporter_share);
    let confirmed: Vec<String> = report_counts
        .iter()
        .filter(|(_, count)| **count >= required_reports)
        .map(|(server, _)| server.clone())
        .collect();
    if confirmed.len() as f64 > MAX_OUTLIER_SHARE * listed_servers as f64 {
        return Vec::new();
    }
    confirmed
}

#[cfg(test)]
mod tests;
