//! Parts: each is the share of a query that one shard answers.

use cairnroad_types::{RequestId, ServerId, Time};

/// A part of an open query.
#[derive(Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    /// Index of the class in the settings.
    pub(crate) class: usize,
    pub(crate) shard: u32,
    /// Share of the query's answer; finite and not negative.
    pub(crate) weight: f64,
    pub(crate) is_answered: bool,
    pub(crate) first_sent: Option<Time>,
    /// Numbers of the attempts in flight.
    pub(crate) in_flight: Vec<u8>,
    /// Servers that the part was sent to, by attempt number.
    pub(crate) tried_servers: Vec<ServerId>,
    /// Whether an attempt ended without proof that it never ran.
    pub(crate) may_have_run: bool,
    /// Whether the part's hedged request waits until its client is confirmed to be connected.
    pub(crate) is_hedge_deferred: bool,
    /// Server whose stale connection reset the part's attempt; the next attempt goes to it.
    pub(crate) resend_to: Option<ServerId>,
}

impl Part {
    /// Records a new attempt on a server and returns the attempt's number.
    pub(crate) fn start_attempt(&mut self, now: Time, server: ServerId) -> u8 {
        let number = self.tried_servers.len() as u8;
        self.in_flight.push(number);
        self.tried_servers.push(server);
        self.first_sent.get_or_insert(now);
        number
    }

    /// Returns whether the part has no attempt in flight and no answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && !self.is_answered
    }

    /// Returns whether some server may have run the part, or may be running it.
    pub(crate) fn is_possibly_executed(&self) -> bool {
        self.may_have_run || !self.in_flight.is_empty()
    }

    /// Returns how many attempts of the part went to this server.
    pub(crate) fn attempts_on(&self, server: ServerId) -> usize {
        self.tried_servers
            .iter()
            .filter(|&&tried| tried == server)
            .count()
    }
}
