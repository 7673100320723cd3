//! Differences between the messages of two AsyncAPI descriptions.

use super::{ChangeImpact, Comparison, Position};
use crate::model::Message;
use crate::schema::Direction;

impl Comparison<'_> {
    pub(super) fn compare_messages(&mut self) {
        let old = self.old;
        let new = self.new;
        for message in &old.messages {
            self.operation = message.name.to_string();
            self.compared.clear();
            match new.message(&message.channel, &message.wire_name) {
                None => self.add(ChangeImpact::Breaking, "", "the message is gone"),
                Some(after) => self.compare_message(message, after),
            }
        }
        let added = new.messages.iter();
        for message in added.filter(|m| old.message(&m.channel, &m.wire_name).is_none()) {
            self.operation = message.name.to_string();
            let impact = match message.direction {
                Direction::Request => ChangeImpact::Compatible,
                // Receivers of the channel get a message that they do not know.
                Direction::Response => ChangeImpact::Breaking,
            };
            self.add(impact, "", "the message is new");
        }
    }

    fn compare_message(&mut self, old: &Message, new: &Message) {
        if old.direction != new.direction {
            self.add(ChangeImpact::Breaking, "", "it goes the other way");
        }
        if old.is_json != new.is_json {
            self.add(ChangeImpact::Breaking, "payload", "its media type differs");
        }
        self.compare_annotations("", &old.node, &new.node);
        let head = Position {
            direction: old.direction,
            place: "head",
        };
        self.compare_schema_refs(head, &old.headers, &new.headers);
        let payload = Position {
            place: "payload",
            ..head
        };
        self.compare_schema_refs(payload, &old.payload, &new.payload);
    }
}
