//! Selection of the data nodes that are treated as outliers because enough other coordinators report them.

use std::collections::BTreeMap;

/// Minimum number of coordinators that have to report a data node: a single one may itself be cut off from it.
const MIN_REPORTERS: usize = 2;
/// Minimum share of live coordinators that have to report a data node: in a large cluster, some always see failures by
/// chance.
const MIN_REPORTER_SHARE: f64 = 0.05;
/// Maximum share of data nodes that may be confirmed outliers. If there are more, the fault lies elsewhere and no
/// report is used.
const MAX_OUTLIER_SHARE: f64 = 0.34;

/// Returns the data nodes that enough coordinators report as outliers.
///
/// `report_counts` maps each data node to the number of other coordinators that report it, `live_member_count` is the
/// number of live coordinators, and `listed_server_count` the number of data nodes on this coordinator's own endpoint
/// list.
pub fn confirmed_outliers(
    report_counts: &BTreeMap<String, usize>,
    live_member_count: usize,
    listed_server_count: usize,
) -> Vec<String> {
    let reporters_by_share = (MIN_REPORTER_SHARE * live_member_count as f64).ceil() as usize;
    let required_reports = MIN_REPORTERS.max(reporters_by_share);
    let confirmed: Vec<String> = report_counts
        .iter()
        .filter(|(_, count)| **count >= required_reports)
        .map(|(server, _)| server.clone())
        .collect();
    if confirmed.len() as f64 > MAX_OUTLIER_SHARE * listed_server_count as f64 {
        return Vec::new();
    }
    confirmed
}

#[cfg(test)]
mod tests;
