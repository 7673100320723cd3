//! Which of the data nodes that others doubt a coordinator heeds.

use std::collections::BTreeMap;

/// So many others at least have to doubt a data node: one alone may be cut off from it.
const MIN_REPORTERS: usize = 2;
/// And so large a share of those who are there: among many, some always have bad luck.
const MIN_REPORTER_SHARE: f64 = 0.05;
/// Where more than this share of the data nodes is doubted, the fault is elsewhere, and no word on one of them helps.
const MAX_OUTLIER_SHARE: f64 = 0.34;

/// Of the data nodes that others doubt, with how many do, those that are heeded by one of `there` coordinators whose own
/// list names `listed` data nodes.
pub fn confirmed_outliers(
    doubted: &BTreeMap<String, usize>,
    there: usize,
    listed: usize,
) -> Vec<String> {
    let needed = MIN_REPORTERS.max((MIN_REPORTER_SHARE * there as f64).ceil() as usize);
    let heeded = doubted
        .iter()
        .filter(|(_, count)| **count >= needed)
        .map(|(id, _)| id.clone());
    let heeded: Vec<String> = heeded.collect();
    if heeded.len() as f64 > MAX_OUTLIER_SHARE * listed as f64 {
        return Vec::new();
    }
    heeded
}

#[cfg(test)]
mod tests;
