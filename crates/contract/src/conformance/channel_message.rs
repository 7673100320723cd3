//! Checks of the messages of a channel: header fields and payload.

use super::report::ViolationReport;
use super::types::{Conformance, ViolationKind};
use crate::model::Description;
use crate::schema::{clip, Direction};
use serde_json::Value;

impl Description {
    /// Checks a message of a channel: its header fields as a JSON object, and the bytes of its payload.
    ///
    /// `word` is the message's name or letter on the wire.
    pub fn check_message(
        &self,
        channel: &str,
        word: &str,
        headers: &Value,
        payload: &[u8],
    ) -> Conformance<'_> {
        let mut report = ViolationReport::new(self);
        let Some(message) = self.message(channel, word) else {
            let expected = format!("one of: {}", clip(&self.described_messages(channel)));
            report.add(
                ViolationKind::Unknown,
                "message",
                None,
                &expected,
                &clip(word),
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

    /// Which way a message of a channel goes; towards the server if it is not described.
    pub fn direction(&self, channel: &str, word: &str) -> Direction {
        self.message(channel, word)
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
