//! Checks the traffic with servers and discovery.

use super::background_check::{
    SampledContent, SampledExchange, SampledFrame, SampledHttpRequest, SampledMessage,
    SampledResponse,
};
use super::{Contracts, HeaderParser};
use crate::http;
use crate::messages::ContractsInForce;
use bytes::BytesMut;
use cairnroad_contract::conformance::ObservedResponse;
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::{is_response_usable, InterfaceContract, Mode};
use cairnroad_contract::schema::Direction;
use std::sync::Arc;

/// A frame, or a message of the discovery watch, as observed on the wire.
pub struct ObservedMessage<'p> {
    /// The AsyncAPI channel.
    pub channel: &'static str,
    /// The message's name on the channel: a frame's letter, or the name of a watch message.
    pub name: &'static str,
    /// Whether the coordinator sends the message (`Request`) or receives it.
    pub direction: Direction,
    /// The bytes after the message's first line.
    pub payload: &'p [u8],
}

impl Contracts {
    /// Checks a server's response to an HTTP request, given as its bytes. Returns whether the response may be used.
    ///
    /// `complete` states whether the whole body of the response was received.
    pub fn check_exchange(
        &self,
        in_force: &ContractsInForce,
        server: &Arc<str>,
        request: &[u8],
        response: &http::Response,
        complete: bool,
    ) -> bool {
        let contract = in_force
            .as_ref()
            .and_then(|contracts| contracts.get(Interface::Servers));
        let Some(contract) = contract else {
            return true;
        };
        if contract.mode == Mode::Enforce {
            return self.enforce_response(contract, server, request, response, complete);
        }
        if self.is_sampled(Interface::Servers) {
            self.queue_exchange(contract, server, request, response, complete);
        }
        true
    }

    fn enforce_response(
        &self,
        contract: &InterfaceContract,
        server: &Arc<str>,
        request: &[u8],
        response: &http::Response,
        complete: bool,
    ) -> bool {
        let line = request.split(|&byte| byte == b'\r').next().unwrap_or(&[]);
        let line = String::from_utf8_lossy(line);
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("");
        let target = words.next().unwrap_or("");
        let operation = contract.description.find_operation(method, target);
        // A response to an operation that is not described has no requirements to violate.
        let Some(operation) = operation else {
            return true;
        };
        let observed = ObservedResponse {
            status: response.status,
            fields: response.fields.pairs(),
            body: &response.body,
            complete,
        };
        let found = contract.description.check_response(operation, &observed);
        self.record(
            Interface::Servers,
            server,
            found.operation,
            Direction::Response,
            &found.violations,
        );
        is_response_usable(contract.mode, &found.violations)
    }

    fn queue_exchange(
        &self,
        contract: &InterfaceContract,
        server: &Arc<str>,
        request: &[u8],
        response: &http::Response,
        complete: bool,
    ) {
        let parsed = http::RequestParser::default().parse(&mut BytesMut::from(request));
        let Ok(Some(parsed)) = parsed else {
            return;
        };
        let exchange = SampledExchange {
            request: SampledHttpRequest {
                method: parsed.method,
                target: parsed.target,
                fields: parsed.fields.pairs().to_vec(),
                body: parsed.body,
                already_checked: false,
            },
            response: SampledResponse {
                status: response.status,
                fields: response.fields.pairs().to_vec(),
                body: response.body.clone(),
                complete,
            },
        };
        self.queue(SampledMessage {
            contract: contract.clone(),
            interface: Interface::Servers,
            party: server.clone(),
            seen_at: self.now(),
            size: request.len() + response.body.len(),
            content: SampledContent::Exchange(exchange),
        });
    }

    /// Checks a frame or a watch message. Returns whether the message may be used.
    ///
    /// `line` and `parse_headers` are called only if the message is checked or sampled. `party` is the remote side.
    pub fn check_message(
        &self,
        in_force: &ContractsInForce,
        interface: Interface,
        party: &Arc<str>,
        message: ObservedMessage,
        line: impl FnOnce() -> String,
        parse_headers: HeaderParser,
    ) -> bool {
        let contract = in_force
            .as_ref()
            .and_then(|contracts| contracts.get(interface));
        let Some(contract) = contract else {
            return true;
        };
        let ObservedMessage {
            channel,
            name,
            direction,
            payload,
        } = message;
        if contract.mode == Mode::Enforce && direction == Direction::Response {
            let headers = parse_headers(&line());
            let description = &contract.description;
            let found = description.check_message(channel, name, &headers, payload);
            self.record(
                interface,
                party,
                found.operation,
                direction,
                &found.violations,
            );
            return is_response_usable(contract.mode, &found.violations);
        }
        if self.is_sampled(interface) {
            let sender = match direction {
                Direction::Request => &self.coordinator_party,
                Direction::Response => party,
            };
            self.queue(SampledMessage {
                contract: contract.clone(),
                interface,
                party: sender.clone(),
                seen_at: self.now(),
                size: payload.len(),
                content: SampledContent::Message(SampledFrame {
                    channel,
                    name,
                    direction,
                    line: line(),
                    parse_headers,
                    payload: payload.to_vec(),
                }),
            });
        }
        true
    }
}
