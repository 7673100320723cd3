//! The task of a connection: one search after another, and a close wherever the next one could be given an answer that
//! is not its own.

use super::fault::ConnectionFault;
use super::search::{encode_search, search_outcome};
use crate::connections::handle::{Command, ConnectionHandle};
use crate::http::{self, Response};
use crate::messages::{OutboundAttempt, PartValue};
use cairnroad_types::Outcome;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest body of an answer that is read, in bytes.
const MAX_ANSWER: usize = 1024 * 1024;
/// How long an answer that has begun may bring nothing more. One that stands still has a wrong length.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a connection from the dial to the close.
pub async fn run(mut handle: ConnectionHandle) {
    let Some(mut stream) = handle.dial().await else {
        return handle.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let mut buffer = Vec::new();
    let mut unsent = Vec::new();
    let mut unsent_outcome = Outcome::ConnectFailed;
    loop {
        let command = tokio::select! {
            () = handle.shared.close_requested() => break,
            command = handle.commands.recv() => command,
            // Between requests a server has nothing to say: what arrives is the connection's end.
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
            Some(Command::Call(parts)) if handle.is_draining() => {
                handle
                    .report_failed_parts(parts, Outcome::ConnectFailed)
                    .await;
            }
            // The pool gives this backend calls of one part.
            Some(Command::Call(parts)) => {
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
            }
            // The part was answered meanwhile.
            Some(Command::Cancel(_)) => {}
            // This API has no load report of the platform's kind.
            Some(Command::HealthCheck) => {
                handle.report_failed_health_check(Outcome::NotSent).await;
            }
        }
    }
    handle.poison();
    handle.close(unsent, unsent_outcome).await;
}

/// Whether a connection can carry another search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reuse {
    KeepOpen,
    Close,
}

/// One search: its request, and how much of that is written.
struct Exchange<'a> {
    handle: &'a mut ConnectionHandle,
    part: OutboundAttempt,
    request: Vec<u8>,
    written: usize,
}

impl<'a> Exchange<'a> {
    fn new(handle: &'a mut ConnectionHandle, part: OutboundAttempt) -> Self {
        let host = handle.address.to_string();
        let request = encode_search(&part, &host, handle.clock.now());
        Exchange {
            handle,
            part,
            request,
            written: 0,
        }
    }

    /// Writes the request, reads the answer and reports it.
    async fn run(&mut self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Reuse {
        let (mut reader, mut writer) = stream.split();
        loop {
            let is_written = self.written == self.request.len();
            tokio::select! {
                // Cancels come first: a part that was given up while its connection came up must not be sent.
                biased;
                // The core is done with this part or with the connection: closing it notifies the server.
                () = self.handle.shared.close_requested() => break,
                command = self.handle.commands.recv() => match command {
                    Some(Command::Cancel(attempt)) if attempt == self.part.attempt => return Reuse::Close,
                    Some(command) => self.reject(command).await,
                    None => break,
                },
                written = writer.write(&self.request[self.written..]), if !is_written => match written {
                    Ok(bytes) if bytes > 0 => self.written += bytes,
                    _ => break,
                },
                () = tokio::time::sleep(STALL_TIMEOUT), if !buffer.is_empty() => {
                    self.log(ConnectionFault::StalledAnswer);
                    self.check_incomplete(buffer);
                    return self.fail().await;
                }
                read = reader.read_buf(buffer), if is_written => {
                    let Ok(bytes) = read else { break };
                    let at_end = bytes == 0;
                    match http::parse_response(buffer, at_end, MAX_ANSWER) {
                        Ok(Some((response, used))) => {
                            buffer.drain(..used);
                            let reusable = !at_end && !response.closes_connection;
                            return self.on_response(&response, reusable, !buffer.is_empty()).await;
                        }
                        Ok(None) if at_end => {
                            if !buffer.is_empty() {
                                self.check_incomplete(buffer);
                            }
                            break;
                        }
                        Ok(None) => {}
                        Err(error) => {
                            self.log(error.into());
                            return self.fail().await;
                        }
                    }
                }
            }
        }
        self.on_broken().await
    }

    /// Reports the outcome of a response. `reusable` says that both sides keep the connection open, `more_follows` that
    /// bytes came behind the response.
    async fn on_response(
        &mut self,
        response: &Response,
        reusable: bool,
        more_follows: bool,
    ) -> Reuse {
        let (mut outcome, mut value) = search_outcome(response);
        if !self.check_response(response, true) {
            (outcome, value) = (Outcome::Error, None);
        }
        // The next search would be given the rest for its own answer.
        if more_follows {
            self.log(ConnectionFault::TrailingBytes);
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

    /// Reports an answer that can't be used, after which the connection can't either.
    async fn fail(&self) -> Reuse {
        self.report(Outcome::Error, None).await;
        Reuse::Close
    }

    /// Reports a connection that broke, or was closed, under the search.
    async fn on_broken(&self) -> Reuse {
        // Before its last byte the request cannot have run; after it, it may have, however the answer was cut.
        let outcome = if self.written < self.request.len() {
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

    /// Answers a command that came during the search.
    async fn reject(&self, command: Command) {
        match command {
            Command::Call(parts) => {
                let outcome = Outcome::ConnectFailed;
                self.handle.report_failed_parts(parts, outcome).await;
            }
            Command::HealthCheck => {
                let outcome = Outcome::NotSent;
                self.handle.report_failed_health_check(outcome).await;
            }
            Command::Cancel(_) => {}
        }
    }

    /// Checks an answer that began and is not complete against the description of this interface.
    fn check_incomplete(&self, received: &[u8]) {
        let response = Response {
            status: 0,
            fields: http::Fields::default(),
            body: received.to_vec(),
            closes_connection: true,
        };
        self.check_response(&response, false);
    }

    /// Checks a response against the description of this interface. Returns whether it may be used.
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

    fn log(&self, fault: ConnectionFault) {
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
