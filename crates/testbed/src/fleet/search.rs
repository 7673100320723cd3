//! Implements the node side of the query API.

use super::node_server::{NodeServer, ReceivedCall, ReplySender, ReplyTo, MAX_MESSAGE_BYTES};
use super::Fleet;
use serde_json::json;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt};

/// The response body of a rejected search.
const REJECTED_BODY: &str =
    "{\"error\":{\"type\":\"rejected_execution_exception\"},\"status\":429}";

impl Fleet {
    /// Serves searches until the connection ends or a request can't be read.
    pub(super) async fn serve_searches(
        &self,
        reader: &mut (impl AsyncBufReadExt + Unpin),
        server: &Rc<NodeServer>,
        replies: &ReplySender,
    ) -> std::io::Result<()> {
        let mut last_part = None;
        loop {
            let mut request_line = String::new();
            if reader.read_line(&mut request_line).await? == 0 {
                // A client cancels a search by closing its connection.
                if let Some(part) = last_part {
                    server.cancel(self.now(), part);
                }
                return Ok(());
            }
            let shard = requested_shard(&request_line);
            let message = read_message(reader).await?;
            let reply_to = ReplyTo::Search {
                writer: replies.clone(),
            };
            let shard = shard.ok_or_else(malformed)?;
            let call = ReceivedCall {
                text: &message.body,
                shard,
                key: message.key.as_deref(),
                first_of_call: true,
            };
            let received = self.receive_part(server, &call, reply_to);
            last_part = Some(received.id);
            if received.rejected {
                let _ = replies.send(encode_response(429, REJECTED_BODY));
            }
        }
    }
}

fn requested_shard(request_line: &str) -> Option<u32> {
    let after_key = request_line.split("_shards:").nth(1)?;
    after_key.split(['&', ' ']).next()?.parse().ok()
}

/// The parts of a request that a node uses.
struct SearchMessage {
    key: Option<String>,
    body: String,
}

/// Reads a request from its header fields on.
async fn read_message(
    reader: &mut (impl AsyncBufReadExt + Unpin),
) -> std::io::Result<SearchMessage> {
    let mut length = 0;
    let mut key = None;
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).await?;
        let Some((name, value)) = field.trim_end().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(|_| malformed())?;
        } else if name.eq_ignore_ascii_case("idempotency-key") {
            key = Some(value.trim().to_string());
        }
    }
    if length > MAX_MESSAGE_BYTES {
        return Err(malformed());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    let body = String::from_utf8(body).map_err(|_| malformed())?;
    Ok(SearchMessage { key, body })
}

fn malformed() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::InvalidData)
}

/// Encodes the response to a search of one shard, with a single hit.
pub(super) fn hits_response(shard: u32, value: &str) -> Vec<u8> {
    let hit = json!({
        "_index": "lab",
        "_id": shard.to_string(),
        "_score": 1.0,
        "_source": {"doc": value},
    });
    let hits = json!({
        "total": {"value": 1, "relation": "eq"},
        "max_score": 1.0,
        "hits": [hit],
    });
    let body = json!({"took": 1, "timed_out": false, "_shards": {"failed": 0}, "hits": hits});
    encode_response(200, &body.to_string())
}

fn encode_response(status: u16, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Lab\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + body).into_bytes()
}
