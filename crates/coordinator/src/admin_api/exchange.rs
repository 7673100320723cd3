//! The exchange on one admin connection: one request, one response and a lingering close.

use super::open_connections::RequestReceived;
use super::AdminApi;
use crate::connections::discard::DiscardLimiter;
use crate::connections::socket::READ_SIZE;
use crate::http;
use bytes::BytesMut;
use cairnroad_admin::request::{parse_request, AdminRequest, AdminResponse, AllowedMethod};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for a request to arrive. Every response is due within 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for writing the response, and for reading from the client afterwards, so that no reset cuts off the
/// response.
const LINGER: Duration = Duration::from_millis(200);

/// Maximum size of a request with its body, which has no content, in bytes.
const MAX_REQUEST: usize = http::MAX_HEAD + READ_SIZE;

/// An HTTP response to an admin request.
struct Reply {
    status: u16,
    /// The method that the path accepts, for the `Allow` header of a response with status 405.
    allowed_method: Option<AllowedMethod>,
    /// The body, a JSON object.
    body: String,
}

impl Reply {
    fn new(status: u16, message: &str) -> Reply {
        let key = if status < 300 { "answer" } else { "error" };
        Reply {
            status,
            allowed_method: None,
            body: json!({ key: message }).to_string(),
        }
    }

    fn to_bytes(&self) -> Vec<u8> {
        let allow = self
            .allowed_method
            .map(|method| ("Allow", method.name().to_string()));
        let headers: Vec<_> = allow.into_iter().collect();
        let body = self.body.as_bytes();
        http::write_response(self.status, "application/json", &headers, true, body)
    }
}

impl From<AdminResponse> for Reply {
    fn from(response: AdminResponse) -> Reply {
        let allowed_method = match response {
            AdminResponse::MethodNotAllowed(method) => Some(method),
            _ => None,
        };
        Reply {
            allowed_method,
            ..Reply::new(response.status(), response.message())
        }
    }
}

impl From<http::MessageError> for Reply {
    fn from(error: http::MessageError) -> Reply {
        Reply::new(error.status(), error.message())
    }
}

/// Serves one connection until it is closed.
pub(super) async fn serve(mut stream: TcpStream, api: Rc<AdminApi>, received: RequestReceived) {
    let _ = stream.set_nodelay(true);
    let reply = match timeout(REQUEST_TIMEOUT, read_request(&mut stream)).await {
        Ok(None) => return,
        Ok(Some(Ok(request))) => {
            received.set();
            api.reply_to(&request).await
        }
        Ok(Some(Err(error))) => Reply::from(error),
        Err(_) => Reply::from(http::MessageError::ReceiveTimeout),
    };
    let written = timeout(LINGER, stream.write_all(&reply.to_bytes())).await;
    if matches!(written, Ok(Ok(()))) {
        close(stream, &api.discards).await;
    }
}

/// Closes a connection after its client has closed it, or after the linger time.
async fn close(mut stream: TcpStream, discards: &DiscardLimiter) {
    let _ = stream.shutdown().await;
    let _ = timeout(LINGER, discards.discard(&stream)).await;
}

/// Reads the connection's request; `None` if the client closed the connection without one.
async fn read_request(stream: &mut TcpStream) -> Option<Result<http::Request, http::MessageError>> {
    let mut buffer = BytesMut::new();
    let mut parser = http::RequestParser::default();
    let mut received = 0;
    loop {
        match parser.parse(&mut buffer) {
            Ok(Some(request)) => return Some(Ok(request)),
            Err(error) => return Some(Err(error)),
            Ok(None) => {}
        }
        if parser.expects_continue() {
            return Some(Err(http::MessageError::Malformed("calls have no body")));
        }
        if received > MAX_REQUEST {
            return Some(Err(http::MessageError::BodyTooLarge));
        }
        buffer.reserve(READ_SIZE);
        match stream.read_buf(&mut buffer).await {
            Ok(0) if parser.has_begun() || !buffer.is_empty() => {
                return Some(Err(http::MessageError::Malformed("the call is not whole")))
            }
            Ok(0) | Err(_) => return None,
            Ok(bytes) => received += bytes,
        }
    }
}

impl AdminApi {
    async fn reply_to(&self, request: &http::Request) -> Reply {
        match parse_request(&request.method, &request.target) {
            Ok(AdminRequest::ClusterMembers) => match self.cluster_members().await {
                Some(members) => Reply {
                    status: AdminResponse::Done.status(),
                    allowed_method: None,
                    body: members,
                },
                None => Reply::from(AdminResponse::NotClustered),
            },
            Ok(AdminRequest::Readiness) => Reply::from(self.readiness()),
            Ok(request) => Reply::from(self.execute(request).await),
            Err(response) => Reply::from(response),
        }
    }
}
