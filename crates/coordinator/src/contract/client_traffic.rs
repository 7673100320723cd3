//! Checks clients' requests and samples them with their responses.

use super::background_check::{
    SampledContent, SampledExchange, SampledHttpRequest, SampledMessage, SampledResponse,
};
use super::Contracts;
use crate::http;
use cairnroad_contract::conformance::ObservedRequest;
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::{
    decide_request, ActiveContracts, InterfaceContract, Mode, Rejection, RequestDecision,
};
use cairnroad_contract::schema::Direction;

/// A sampled request of a client, kept until its response is known.
pub struct SampledRequest {
    contract: InterfaceContract,
    interface: Interface,
    request: SampledHttpRequest,
}

impl Contracts {
    /// Checks a client's request before it is served, under `enforce`, and samples it.
    ///
    /// Returns the request if it was sampled; the caller then passes the response to [`Contracts::on_response`].
    ///
    /// # Errors
    /// The rejection, if the request has a violation for which it must not be served.
    pub fn check_request(
        &self,
        in_force: &ActiveContracts,
        interface: Interface,
        request: &http::Request,
    ) -> Result<Option<SampledRequest>, Rejection> {
        let Some(contract) = in_force.get(interface) else {
            return Ok(None);
        };
        let enforced = contract.mode == Mode::Enforce;
        if enforced {
            self.enforce_request(contract, interface, request)?;
        }
        Ok(self.is_sampled(interface).then(|| SampledRequest {
            contract: contract.clone(),
            interface,
            request: SampledHttpRequest {
                method: request.method.clone(),
                target: request.target.clone(),
                fields: request.fields.pairs().to_vec(),
                body: if enforced {
                    Vec::new()
                } else {
                    request.body.clone()
                },
                already_checked: enforced,
            },
        }))
    }

    fn enforce_request(
        &self,
        contract: &InterfaceContract,
        interface: Interface,
        request: &http::Request,
    ) -> Result<(), Rejection> {
        let observed = ObservedRequest {
            method: &request.method,
            target: &request.target,
            fields: request.fields.pairs(),
            body: &request.body,
        };
        let found = contract.description.check_request(&observed);
        self.record(
            interface,
            &self.client_party,
            found.operation,
            Direction::Request,
            &found.violations,
        );
        match decide_request(contract.mode, &found.violations) {
            RequestDecision::Reject(rejection) => Err(rejection),
            RequestDecision::Serve => Ok(()),
        }
    }

    /// Queues a sampled request with its response for the background check.
    pub fn on_response(
        &self,
        sampled: SampledRequest,
        status: u16,
        content_type: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) {
        let SampledRequest {
            contract,
            interface,
            request,
        } = sampled;
        let mut fields = vec![("Content-Type".to_string(), content_type.to_string())];
        fields.extend(
            headers
                .iter()
                .map(|(name, value)| (name.to_string(), value.clone())),
        );
        let size = request.body.len() + body.len() + request.target.len();
        let response = SampledResponse {
            status,
            fields,
            body: body.to_vec(),
            complete: true,
        };
        self.queue(SampledMessage {
            contract,
            interface,
            party: self.client_party.clone(),
            seen_at: self.now(),
            size,
            content: SampledContent::Exchange(SampledExchange { request, response }),
        });
    }
}
