//! Filter of the messages that reach the SWIM library, for those about this coordinator's own name and about forgotten
//! members.
//!
//! The library takes any other process under its own name for an earlier process of this coordinator and declares that
//! process failed. If the other process is in fact the newer one, the two would declare each other failed forever.

use crate::identity::{MemberId, NameHash};
use crate::view::MAX_MEMBERS;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Maximum number of forgotten members that are still recognized, so that stale gossip does not bring them back.
const MAX_FORGOTTEN: usize = 2 * MAX_MEMBERS;

/// The last known process of a forgotten member. The order is chronological.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ForgottenProcess {
    generation: u64,
    rejoins: u16,
}

impl ForgottenProcess {
    fn of(id: &MemberId) -> ForgottenProcess {
        ForgottenProcess {
            generation: id.generation,
            rejoins: id.rejoins,
        }
    }
}

/// Decides which members the messages to the library may name, and records events that the library does not report.
pub(crate) struct MessageFilter {
    /// This coordinator's current identity.
    pub(crate) local: MemberId,
    /// The newest process under this coordinator's name that other members named, until the status update takes it.
    pub(crate) newer_process: Option<MemberId>,
    /// This coordinator's SWIM incarnation as last sent.
    pub(crate) local_incarnation: u16,
    /// Number of answers to this coordinator's probes since the counter was last reset.
    pub(crate) probe_acks: u32,
    known_names: BTreeSet<NameHash>,
    forgotten: BTreeMap<NameHash, ForgottenProcess>,
    /// The keys of `forgotten`, oldest first.
    forgotten_order: VecDeque<NameHash>,
}

impl MessageFilter {
    pub(crate) fn new(local: MemberId) -> MessageFilter {
        MessageFilter {
            local,
            newer_process: None,
            local_incarnation: 0,
            probe_acks: 0,
            known_names: BTreeSet::new(),
            forgotten: BTreeMap::new(),
            forgotten_order: VecDeque::new(),
        }
    }

    /// Returns whether [`MAX_MEMBERS`] names are known, so that no further one is accepted.
    pub(crate) fn is_full(&self) -> bool {
        self.known_names.len() >= MAX_MEMBERS
    }

    /// Forgets a member that the library removed after the retention time of failed members.
    pub(crate) fn forget(&mut self, id: &MemberId) {
        self.known_names.remove(&id.name);
        let process = ForgottenProcess::of(id);
        if self.forgotten.insert(id.name, process).is_none() {
            self.forgotten_order.push_back(id.name);
        }
        if self.forgotten_order.len() > MAX_FORGOTTEN {
            if let Some(oldest) = self.forgotten_order.pop_front() {
                self.forgotten.remove(&oldest);
            }
        }
    }

    /// Checks whether a message that names this member may be passed to the library.
    fn check(&mut self, id: &MemberId, state: State) -> Result<(), FilterError> {
        if id.name == self.local.name && id.supersedes(&self.local) {
            self.record_newer_process(id);
            // If the newer process is down too, there is no process to yield the name to, and the library has nothing
            // to declare failed.
            if state != State::Down {
                return Err(FilterError::NewerProcess);
            }
        }
        if self.is_full() && !self.known_names.contains(&id.name) {
            return Err(FilterError::TooManyMembers);
        }
        self.known_names.insert(id.name);
        Ok(())
    }

    fn record_newer_process(&mut self, id: &MemberId) {
        if self.newer_process.is_none_or(|known| id.supersedes(&known)) {
            self.newer_process = Some(*id);
        }
    }

    fn was_forgotten(&self, id: &MemberId) -> bool {
        self.forgotten
            .get(&id.name)
            .is_some_and(|last| ForgottenProcess::of(id) <= *last)
    }
}

/// The reason why a message is not passed to the library.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FilterError {
    #[error("the message names a newer process under this coordinator's name")]
    NewerProcess,
    #[error("the message names more members than are tracked")]
    TooManyMembers,
    #[error("the message is malformed")]
    Malformed(#[from] postcard::Error),
}

/// The library's codec: `postcard` encoding, with a [`MessageFilter`] applied to decoded members.
#[derive(Clone)]
pub(crate) struct FilteringCodec(pub(crate) Rc<RefCell<MessageFilter>>);

impl Codec<MemberId> for FilteringCodec {
    type Error = FilterError;

    fn encode_header(
        &mut self,
        header: &Header<MemberId>,
        buf: impl BufMut,
    ) -> Result<(), FilterError> {
        self.0.borrow_mut().local_incarnation = header.src_incarnation;
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<MemberId>, FilterError> {
        let header: Header<MemberId> = PostcardCodec.decode_header(buf)?;
        let mut filter = self.0.borrow_mut();
        filter.check(&header.src, State::Alive)?;
        let is_probe_ack = matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. }
        );
        filter.probe_acks += u32::from(is_probe_ack);
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<MemberId>,
        buf: impl BufMut,
    ) -> Result<(), FilterError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<MemberId>, FilterError> {
        let member: Member<MemberId> = PostcardCodec.decode_member(buf)?;
        let mut filter = self.0.borrow_mut();
        filter.check(member.id(), member.state())?;
        if filter.was_forgotten(member.id()) {
            return Ok(Member::down(*member.id()));
        }
        Ok(member)
    }
}
