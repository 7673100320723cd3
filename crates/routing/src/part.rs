//! Parts: the share of a query that one shard answers.

use cairnroad_types::{RequestId, ServerId, Time};

/// A part of an open query.
#[derive(Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    /// Index of the class in the settings.
    pub(crate) class: usize,
    pub(crate) shard: u32,
    /// Its share of the query's answer, finite and not negative.
    pub(crate) weight: f64,
    pub(crate) answered: bool,
    pub(crate) first_sent: Option<Time>,
    /// Numbers of the attempts in flight.
    pub(crate) in_flight: Vec<u8>,
    /// The servers it was sent to, by attempt number.
    pub(crate) tried: Vec<ServerId>,
    /// An attempt ended without proof that it never ran.
    pub(crate) may_have_run: bool,
    /// The server whose stale connection reset the part at once: its retry goes there first.
    pub(crate) retry_on: Option<ServerId>,
}

impl Part {
    /// Notes an attempt on a server and returns the attempt's number.
    pub(crate) fn start_attempt(&mut self, now: Time, server: ServerId) -> u8 {
        let number = self.tried.len() as u8;
        self.in_flight.push(number);
        self.tried.push(server);
        self.first_sent.get_or_insert(now);
        number
    }

    /// Whether no attempt is in flight and none answered.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && !self.answered
    }

    /// Whether some server may have run it, or may be running it.
    pub(crate) fn may_run(&self) -> bool {
        self.may_have_run || !self.in_flight.is_empty()
    }

    /// How many of its attempts went to this server.
    pub(crate) fn attempts_on(&self, server: ServerId) -> usize {
        self.tried.iter().filter(|&&tried| tried == server).count()
    }
}
