//! Encodes a reply: the actions that all instances take in response to one batch.

use cairnroad_types::Action;

/// Codes of the records of a reply, under their names in the operators' protocol description.
mod code {
    pub const ROUTE: u8 = 1;
    pub const TURN_AWAY: u8 = 2;
    pub const GIVE_UP: u8 = 3;
    pub const REVOKE: u8 = 4;
    pub const DEFER: u8 = 5;
    pub const SAMPLE: u8 = 6;
    pub const FOLLOW: u8 = 11;
    pub const ASSEMBLE: u8 = 13;
}

/// Length of the record count, which the length of the frame includes.
const RECORD_COUNT_BYTES: u32 = 4;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut fields = instance.to_le_bytes().to_vec();
        let code = encode_fields(action, &mut fields);
        self.records.push(code);
        self.records
            .extend_from_slice(&(fields.len() as u32).to_le_bytes());
        self.records.extend_from_slice(&fields);
        self.count += 1;
    }

    /// Returns the complete frame.
    pub fn finish(self) -> Vec<u8> {
        let length = self.records.len() as u32 + RECORD_COUNT_BYTES;
        let mut frame = length.to_le_bytes().to_vec();
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}

/// Appends the fields of an action and returns the code of its record.
fn encode_fields(action: &Action, fields: &mut Vec<u8>) -> u8 {
    let mut put = |bytes: &[u8]| fields.extend_from_slice(bytes);
    match action {
        Action::Send {
            part,
            server,
            deadline,
        } => {
            put(&part.0.to_le_bytes());
            put(&server.0.to_le_bytes());
            put(&deadline.secs().to_le_bytes());
            code::ROUTE
        }
        Action::Reject { query, retry_after } => {
            put(&query.0.to_le_bytes());
            put(&retry_after.unwrap_or(0.0).to_le_bytes());
            code::TURN_AWAY
        }
        Action::Fail { query } => {
            put(&query.0.to_le_bytes());
            code::GIVE_UP
        }
        Action::Cancel { part, attempt } => {
            put(&part.0.to_le_bytes());
            put(&[*attempt]);
            code::REVOKE
        }
        Action::SetTimer(at) => {
            // The token distinguishes several timers of an instance; a router has only one.
            let token: u64 = 0;
            put(&at.secs().to_le_bytes());
            put(&token.to_le_bytes());
            code::DEFER
        }
        Action::HealthCheck(server) => {
            put(&server.0.to_le_bytes());
            code::SAMPLE
        }
        Action::SubscribeEndpoints => {
            let subscribe = 1;
            put(&[subscribe]);
            code::FOLLOW
        }
        Action::Answer { query, is_complete } => {
            put(&query.0.to_le_bytes());
            put(&[u8::from(*is_complete)]);
            code::ASSEMBLE
        }
    }
}
