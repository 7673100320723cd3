//! The connection task: runs one search at a time, and closes the connection whenever the next search might receive an
//! answer to an earlier one.

use super::fault::ConnectionFault;
use super::search::{encode_search, opaque_id, search_outcome, OPAQUE_ID_FIELD};
use crate::connections::handle::{ConnectionCommand, ConnectionHandle};
use crate::connections::socket::READ_SIZE;
use crate::http::{self, Response};
use crate::messages::{OutboundAttempt, PartValue};
use bytes::BytesMut;
use cairnroad_types::Outcome;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BODY: usize = 1024 * 1024;
/// Maximum time between two reads of an answer that has begun. An answer that takes longer has a wrong length.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a connection from the dial to the close.
pub async fn run(mut handle: ConnectionHandle) {
    let Some(mut stream) = handle.dial().await else {
        return handle.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let mut buffer = BytesMut::new();
    let mut unsent = Vec::new();
    let mut unsent_outcome = Outcome::ConnectFailed;
    loop {
        let command = tokio::select! {
            () = handle.shared.close_requested() => break,
            command = handle.commands.recv() => command,
            // Between two requests a server sends no data, so a read means that the connection has ended or is
            // unusable.
            read = stream.read_buf(&mut buffer) => {
                if matches!(read, Ok(bytes) if bytes > 0) {
                    let fault = ConnectionFault::UnsolicitedBytes;
                    let cause = fault.to_string();
                    let help = fault.help();
                    tracing::warn!(server = %handle.address, cause, help, "server connection closed");
                    unsent_outcome = Outcome::NotSent;
                }
                break;
            }
        };
        match command {
            None => break,
            Some(ConnectionCommand::Call(parts)) if handle.is_draining() => {
                handle
                    .report_failed_parts(parts, Outcome::ConnectFailed)
                    .await;
            }
            // The pool limits calls to one part for this backend.
            Some(ConnectionCommand::Call(parts)) => {
                let mut parts = parts.into_iter();
                let Some(part) = parts.next() else { continue };
                unsent.extend(parts);
                if !part.may_be_sent(handle.clock.now()) {
                    handle
                        .report_attempt(part.attempt, Outcome::NotSent, None)
                        .await;
                    continue;
                }
                let mut exchange = Exchange::new(&mut handle, part);
                if exchange.run(&mut stream, &mut buffer).await == Reuse::Close {
                    break;
                }
                // Shrinking a reservation never fails.
                let _ = handle.reserve(buffer.capacity());
            }
            // The part has already been answered.
            Some(ConnectionCommand::Cancel(_)) => {}
            // The query API has no load reports.
            Some(ConnectionCommand::HealthCheck) => {
                handle.report_failed_health_check(Outcome::NotSent).await;
            }
        }
    }
    handle.poison();
    handle.close(unsent, unsent_outcome).await;
}

/// States whether a connection can be used for another search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reuse {
    KeepOpen,
    Close,
}

/// A search in progress.
struct Exchange<'a> {
    handle: &'a mut ConnectionHandle,
    part: OutboundAttempt,
    /// The encoded request.
    request: Vec<u8>,
    /// Number of bytes of the request that have been written.
    written_bytes: usize,
    parser: http::ResponseParser,
}

impl<'a> Exchange<'a> {
    fn new(handle: &'a mut ConnectionHandle, part: OutboundAttempt) -> Self {
        let host = handle.address.to_string();
        let request = encode_search(&part, &host, handle.clock.now());
        Exchange {
            handle,
            part,
            request,
            written_bytes: 0,
            parser: http::ResponseParser::new(MAX_ANSWER_BODY),
        }
    }

    /// Writes the request, reads the answer and reports it.
    async fn run(&mut self, stream: &mut TcpStream, buffer: &mut BytesMut) -> Reuse {
        let (mut reader, mut writer) = stream.split();
        loop {
            let is_written = self.written_bytes == self.request.len();
            let has_begun = !buffer.is_empty() || self.parser.partial_body().is_some();
            buffer.reserve(READ_SIZE);
            tokio::select! {
                // Cancels come first: a part that was cancelled while its connection was being dialled must not be
                // sent.
                biased;
                // The core no longer needs this part or the connection. Closing the connection notifies the server.
                () = self.handle.shared.close_requested() => break,
                command = self.handle.commands.recv() => match command {
                    Some(ConnectionCommand::Cancel(attempt)) if attempt == self.part.attempt => return Reuse::Close,
                    Some(command) => self.reject(command).await,
                    None => break,
                },
                written = writer.write(&self.request[self.written_bytes..]), if !is_written => match written {
                    Ok(bytes) if bytes > 0 => self.written_bytes += bytes,
                    _ => break,
                },
                () = tokio::time::sleep(STALL_TIMEOUT), if has_begun => {
                    self.log_fault(ConnectionFault::StalledAnswer);
                    self.check_incomplete(buffer);
                    return self.on_unusable_answer().await;
                }
                read = reader.read_buf(buffer), if is_written => {
                    let Ok(bytes) = read else { break };
                    let at_eof = bytes == 0;
                    match self.parser.parse(buffer, at_eof) {
                        Ok(Some(response)) => {
                            let reusable = !at_eof && !response.closes_connection;
                            return self.on_response(&response, reusable, !buffer.is_empty()).await;
                        }
                        Ok(None) if at_eof => {
                            if has_begun {
                                self.check_incomplete(buffer);
                            }
                            break;
                        }
                        Ok(None) if !self.reserve(buffer) => {
                            self.log_fault(ConnectionFault::OutOfMemory);
                            return self.on_unusable_answer().await;
                        }
                        Ok(None) => {}
                        Err(error) => {
                            self.log_fault(error.into());
                            return self.on_unusable_answer().await;
                        }
                    }
                }
            }
        }
        self.on_connection_lost().await
    }

    /// Reserves the memory of the incomplete answer. Returns whether there was enough.
    fn reserve(&self, buffer: &BytesMut) -> bool {
        let size = buffer.capacity() + self.parser.body_size();
        self.handle.reserve(size)
    }

    /// Reports the outcome of a response. `reusable` states whether both sides keep the connection open, `more_follows`
    /// whether further data was received after the response.
    async fn on_response(
        &mut self,
        response: &Response,
        reusable: bool,
        more_follows: bool,
    ) -> Reuse {
        // A copy of an earlier answer may arrive after this search was written.
        let answered_id = response.fields.get(OPAQUE_ID_FIELD);
        if answered_id.is_some_and(|id| id != opaque_id(&self.part)) {
            self.log_fault(ConnectionFault::ForeignAnswer);
            self.handle.poison();
            return self.on_unusable_answer().await;
        }
        let (mut outcome, mut value) = search_outcome(response);
        if !self.check_response(response, true) {
            (outcome, value) = (Outcome::Error, None);
        }
        // The next search would take the remaining data for its own answer.
        if more_follows {
            self.log_fault(ConnectionFault::TrailingBytes);
        }
        let reuse = if reusable && !more_follows {
            Reuse::KeepOpen
        } else {
            Reuse::Close
        };
        if reuse == Reuse::Close {
            self.handle.poison();
        }
        self.report(outcome, value).await;
        reuse
    }

    /// Reports an answer that can't be used. The connection can't be used any more either.
    async fn on_unusable_answer(&self) -> Reuse {
        self.report(Outcome::Error, None).await;
        Reuse::Close
    }

    /// Reports that the connection was lost or closed during the search.
    async fn on_connection_lost(&self) -> Reuse {
        // The search can't have run unless the request was written completely. If it was, the search may have run, even
        // if no complete answer arrived.
        let outcome = if self.written_bytes < self.request.len() {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        };
        self.report(outcome, None).await;
        Reuse::Close
    }

    async fn report(&self, outcome: Outcome, value: Option<PartValue>) {
        let attempt = self.part.attempt;
        self.handle.report_attempt(attempt, outcome, value).await;
    }

    /// Rejects a command that was received during the search.
    async fn reject(&self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Call(parts) => {
                let outcome = Outcome::ConnectFailed;
                self.handle.report_failed_parts(parts, outcome).await;
            }
            ConnectionCommand::HealthCheck => {
                let outcome = Outcome::NotSent;
                self.handle.report_failed_health_check(outcome).await;
            }
            ConnectionCommand::Cancel(_) => {}
        }
    }

    /// Checks an incomplete answer against the API description of the interface to servers. `undecoded` are the received
    /// bytes that belong to an incomplete head.
    fn check_incomplete(&self, undecoded: &[u8]) {
        let received = self.parser.partial_body().unwrap_or(undecoded);
        let response = Response {
            status: 0,
            fields: http::Fields::default(),
            body: received.to_vec(),
            closes_connection: true,
        };
        self.check_response(&response, false);
    }

    /// Checks a response against the API description of the interface to servers. Returns whether it may be used.
    fn check_response(&self, response: &Response, complete: bool) -> bool {
        let part = &self.part;
        let handle = &self.handle;
        let contracts = &handle.contracts;
        contracts.check_exchange(
            &part.contracts,
            &handle.server,
            &self.request,
            response,
            complete,
        )
    }

    fn log_fault(&self, fault: ConnectionFault) {
        let cause = fault.to_string();
        let help = fault.help();
        tracing::warn!(
            server = %self.handle.address,
            class = %self.part.class,
            request = %self.part.external_id,
            cause,
            help,
            "server connection closed"
        );
    }
}
