//! The pages of the query front about descriptions: the coordinator's own descriptions, and the drift report.

use super::{lock, Contracts};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::InterfaceContract;
use serde_json::{json, Map, Value};

/// The coordinator's own descriptions, as JSON text.
#[derive(Default)]
pub struct PublishedDescriptions {
    /// The OpenAPI description of the HTTP interfaces.
    pub openapi: Vec<u8>,
    /// The AsyncAPI description of the protocols to servers and discovery.
    pub asyncapi: Vec<u8>,
}

impl Contracts {
    /// Replaces the published descriptions after the settings were reloaded.
    pub fn republish(&self, published: PublishedDescriptions) {
        *self.published.borrow_mut() = published;
    }

    /// Returns the body of a page about descriptions; `None` for any other path.
    pub fn page(&self, path: &str) -> Option<Vec<u8>> {
        match path {
            "/openapi.json" => Some(self.published.borrow().openapi.clone()),
            "/asyncapi.json" => Some(self.published.borrow().asyncapi.clone()),
            "/_contract" => Some(self.drift_report().to_string().into_bytes()),
            _ => None,
        }
    }

    /// Builds the report of the contracts in force and the violations found so far. Operators' tools read its keys.
    fn drift_report(&self) -> Value {
        let in_force = self.current().unwrap_or_default();
        let interfaces: Map<String, Value> = in_force
            .all()
            .map(|(interface, contract)| describe_contract(interface, contract))
            .collect();
        let rejected = lock(&self.backlog).rejected();
        let mut drift = lock(&self.drift);
        drift.expire(self.now());
        json!({
            "generation": in_force.generation,
            "interfaces": interfaces,
            "messages": drift.messages,
            "departing": drift.violating_messages,
            "missed": rejected,
            "dropped": drift.evicted_entries,
            "entries": drift.rows(),
        })
    }
}

fn describe_contract(interface: Interface, contract: &InterfaceContract) -> (String, Value) {
    let description = &contract.description;
    let summary = json!({
        "mode": contract.mode,
        "share": contract.share,
        "title": description.title,
        "format": description.version,
        "files": description.files().collect::<Vec<_>>(),
    });
    (interface.to_string(), summary)
}
