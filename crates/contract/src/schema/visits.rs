//! Counts how often schemas visit one value, to find schemas that recurse without end or cost too much.

use super::subschemas::Subschema;
use super::SchemaRegistry;
use crate::sources::{NodeLocation, Sources};
use std::collections::BTreeMap;

/// The largest number of visits of one value, counted over `allOf`, `anyOf`, `oneOf` and similar keywords with their
/// references. Without the bound, a short chain of schemas that each refer to the next one twice would take exponential
/// time.
pub const MAX_VISITS: u64 = 10_000;

/// The progress of counting a schema's visits.
#[derive(Clone, Copy)]
enum Count {
    /// The schema is on the current path, so reaching it again is a recursion.
    InProgress,
    /// The number of visits is known.
    Done(u64),
}

/// A schema on the current path of the depth-first search.
struct Frame<'s> {
    node: &'s NodeLocation,
    remaining: std::slice::Iter<'s, Subschema>,
    visits: u64,
}

impl<'s> Frame<'s> {
    fn new(node: &'s NodeLocation, subschemas: &'s [Subschema]) -> Frame<'s> {
        Frame {
            node,
            remaining: subschemas.iter(),
            visits: 1,
        }
    }
}

impl SchemaRegistry {
    /// Reports schemas that apply themselves to the value they are applied to, and those that visit one value more
    /// than [`MAX_VISITS`] times. Call it once all schemas are registered.
    pub fn check_visits(&self, sources: &mut Sources) {
        let mut counts: BTreeMap<&NodeLocation, Count> = BTreeMap::new();
        for start in self.schemas.keys() {
            self.count_visits(sources, start, &mut counts);
        }
        let visits = |node: &NodeLocation| match counts.get(node) {
            Some(Count::Done(visits)) => *visits,
            _ => 0,
        };
        for (node, subschemas) in &self.schemas {
            let most_within = subschemas
                .iter()
                .filter(|subschema| subschema.is_in_place())
                .map(|subschema| visits(&subschema.node))
                .max()
                .unwrap_or(0);
            // Reported at the innermost schema only, not at every schema that contains it.
            if visits(node) > MAX_VISITS && most_within <= MAX_VISITS {
                let cause = format!(
                    "schemas visit one value {} times, expected at most {MAX_VISITS}",
                    visits(node)
                );
                sources.fault(node, cause);
            }
        }
    }

    /// Counts the visits of a schema and of the schemas reachable from it. The search uses an explicit stack, since a
    /// chain of references may be longer than the thread's stack allows.
    fn count_visits<'s>(
        &'s self,
        sources: &mut Sources,
        start: &'s NodeLocation,
        counts: &mut BTreeMap<&'s NodeLocation, Count>,
    ) {
        if counts.contains_key(start) {
            return;
        }
        counts.insert(start, Count::InProgress);
        let mut path = vec![Frame::new(start, &self.schemas[start])];
        while let Some(frame) = path.last_mut() {
            let Some(subschema) = frame.remaining.find(|next| next.is_in_place()) else {
                counts.insert(frame.node, Count::Done(frame.visits));
                let visits = frame.visits;
                path.pop();
                if let Some(parent) = path.last_mut() {
                    parent.visits = parent.visits.saturating_add(visits);
                }
                continue;
            };
            let Some((node, subschemas)) = self.schemas.get_key_value(&subschema.node) else {
                continue;
            };
            match counts.get(node) {
                Some(Count::Done(visits)) => {
                    frame.visits = frame.visits.saturating_add(*visits);
                }
                Some(Count::InProgress) => {
                    let cause = format!(
                        "circular schema: applies itself to the same value through {}",
                        sources.display_location(node)
                    );
                    sources.fault(frame.node, cause);
                }
                None => {
                    counts.insert(node, Count::InProgress);
                    path.push(Frame::new(node, subschemas));
                }
            }
        }
    }
}
