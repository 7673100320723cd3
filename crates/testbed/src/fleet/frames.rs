//! Implements the node side of the platform's binary frame protocol.

use super::node_server::{
    NodeBehavior, NodeServer, ReceivedCall, ReplySender, ReplyTo, MAX_MESSAGE_BYTES,
};
use super::Fleet;
use crate::node_model::LoadReport;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

/// One part of a call frame.
struct CalledPart<'a> {
    id: &'a str,
    shard: u32,
    /// The entry `k` of the list: the idempotency key of the query.
    key: Option<&'a str>,
    text: &'a str,
}

impl Fleet {
    /// Serves frames until the connection ends or a frame can't be read.
    pub(super) async fn serve_frames(
        &self,
        reader: &mut (impl AsyncReadExt + Unpin),
        server: &Rc<NodeServer>,
        replies: &ReplySender,
    ) -> std::io::Result<()> {
        // The node's part numbers by the ids that the client chose on this connection.
        let mut parts: HashMap<String, u64> = HashMap::new();
        loop {
            let text = read_frame(reader).await?;
            let (kind, body) = text.split_at_checked(1).ok_or_else(malformed)?;
            match kind {
                "Q" => self.receive_call(server, body, &mut parts, replies)?,
                "X" => {
                    if let Some(part) = parts.remove(body) {
                        server.cancel(self.now(), part);
                    }
                }
                "L" => {
                    let report = server.model.borrow().load_report();
                    if server.behavior.get() != NodeBehavior::Silent {
                        let text = format!("L{}", report_fields(&report));
                        let _ = replies.send(encode_frame(&text));
                    }
                }
                _ => {
                    let _ = replies.send(encode_frame("P"));
                }
            }
        }
    }

    fn receive_call(
        &self,
        server: &NodeServer,
        mut body: &str,
        parts: &mut HashMap<String, u64>,
        replies: &ReplySender,
    ) -> std::io::Result<()> {
        let mut first_of_call = true;
        while !body.is_empty() {
            let (part, rest) = split_part(body)?;
            body = rest;
            let reply_to = ReplyTo::Frame {
                writer: replies.clone(),
                id: part.id.into(),
            };
            let call = ReceivedCall {
                text: part.text,
                shard: part.shard,
                key: part.key,
                first_of_call,
            };
            let received = self.receive_part(server, &call, reply_to);
            parts.insert(part.id.into(), received.id);
            first_of_call = false;
            if received.rejected {
                let _ = replies.send(encode_frame(&format!("A{} busy 1 -\n", part.id)));
            }
        }
        Ok(())
    }
}

async fn read_frame(reader: &mut (impl AsyncReadExt + Unpin)) -> std::io::Result<String> {
    let length = reader.read_u32().await? as usize;
    if length == 0 || length > MAX_MESSAGE_BYTES {
        return Err(malformed());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    String::from_utf8(body).map_err(|_| malformed())
}

/// Splits the first part off a call: a line of id, shard, list and text length, then the text.
fn split_part(body: &str) -> std::io::Result<(CalledPart<'_>, &str)> {
    let (line, rest) = body.split_once('\n').ok_or_else(malformed)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, shard, list, length] = words[..] else {
        return Err(malformed());
    };
    let shard = shard.parse().map_err(|_| malformed())?;
    let length: usize = length.parse().map_err(|_| malformed())?;
    let (text, rest) = rest.split_at_checked(length).ok_or_else(malformed)?;
    let part = CalledPart {
        id,
        shard,
        key: list.split(',').find_map(|entry| entry.strip_prefix("k=")),
        text,
    };
    Ok((part, rest))
}

fn malformed() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::InvalidData)
}

/// Encodes the answer frame of a part that ran successfully.
pub(super) fn answer_frame(id: &str, report: &LoadReport, value: &str) -> Vec<u8> {
    encode_frame(&format!("A{id} ok 1 {}\n{value}", report_fields(report)))
}

fn report_fields(report: &LoadReport) -> String {
    format!(
        "queue={},latency_ms={:.2}",
        report.queue_length, report.latency_ms
    )
}

fn encode_frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}
