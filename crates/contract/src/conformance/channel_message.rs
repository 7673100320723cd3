//! Checks of the messages of a channel: header fields and payload.

use super::report::ViolationReport;
use super::types::{Conformance, ViolationKind};
use crate::model::Description;
use crate::schema::{clip, Direction};
use serde_json::Value;

impl Description {
    /// Checks a message of a channel: its header fields as a JSON object, and the bytes of its payload.
    ///
    /// `wire_name` is the name or type letter of the message on the wire.
    pub fn check_message(
        &self,
        channel: &str,
        wire_name: &str,
        headers: &Value,
        payload: &[u8],
    ) -> Conformance<'_> {
        let mut report = ViolationReport::new(self);
        let Some(message) = self.message(channel, wire_name) else {
            let expected = format!("one of: {}", clip(&self.described_messages(channel)));
            report.add(
                ViolationKind::Unknown,
                "message",
                None,
                &expected,
                &clip(wire_name),
            );
            return Conformance::undescribed(report.into_violations());
        };
        report.check_value(&message.headers, "head", headers);
        if message.payload.node.is_some() {
            if message.is_json {
                report.check_json(&message.payload, &message.node, payload);
            } else {
                report.check_text(&message.payload, &message.node, payload);
            }
        }
        Conformance {
            operation: Some(&message.name),
            operation_index: None,
            violations: report.into_violations(),
        }
    }

    /// Returns the direction of a message of a channel; `Request` if the message is not described.
    pub fn direction(&self, channel: &str, wire_name: &str) -> Direction {
        self.message(channel, wire_name)
            .map_or(Direction::Request, |message| message.direction)
    }

    fn described_messages(&self, channel: &str) -> String {
        self.messages
            .iter()
            .filter(|message| message.channel == channel)
            .map(|message| message.wire_name.as_str())
            .collect::<Vec<_>>()
            .join(", ")
    }
}
