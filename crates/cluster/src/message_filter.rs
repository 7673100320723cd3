//! Filters what the SWIM library is shown: messages about this coordinator's own name and about forgotten members.
//!
//! The library takes whoever bears its name for an earlier process of its own and declares that one failed. Where the
//! other is in fact the newer process, the two would declare each other failed forever.

use crate::identity::{MemberId, NameHash};
use crate::view::MAX_MEMBERS;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How many forgotten members are still recognized, so that no stale gossip brings them back.
const MAX_FORGOTTEN: usize = 2 * MAX_MEMBERS;

/// Which process of a forgotten member was the last; the order is that of time.
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

/// Decides which members messages may name, and notes what the library does not report.
pub(crate) struct MessageFilter {
    /// This coordinator.
    pub(crate) local: MemberId,
    /// A newer process under this coordinator's name that others named, until it is taken from here.
    pub(crate) newer_process: Option<MemberId>,
    /// This coordinator's SWIM incarnation as last sent.
    pub(crate) local_incarnation: u16,
    /// Answers to this coordinator's probes since this was last reset.
    pub(crate) probe_acks: u32,
    known: BTreeSet<NameHash>,
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
            known: BTreeSet::new(),
            forgotten: BTreeMap::new(),
            forgotten_order: VecDeque::new(),
        }
    }

    /// Whether no further name is accepted.
    pub(crate) fn is_full(&self) -> bool {
        self.known.len() >= MAX_MEMBERS
    }

    /// Follows the library in forgetting a member that has been gone for long.
    pub(crate) fn forget(&mut self, id: &MemberId) {
        self.known.remove(&id.name);
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

    /// Checks whether a message that names this member may be shown to the library.
    fn check(&mut self, id: &MemberId, state: State) -> Result<(), FilterError> {
        if id.name == self.local.name && id.supersedes(&self.local) {
            self.note_newer_process(id);
            // Where the newer process has ended too, there is nobody to yield to and nothing to declare.
            if state != State::Down {
                return Err(FilterError::NewerProcess);
            }
        }
        if self.is_full() && !self.known.contains(&id.name) {
            return Err(FilterError::TooManyMembers);
        }
        self.known.insert(id.name);
        Ok(())
    }

    fn note_newer_process(&mut self, id: &MemberId) {
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

/// Why a message is not shown to the library.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FilterError {
    #[error("the message names a newer process under this coordinator's name")]
    NewerProcess,
    #[error("the message names more members than are tracked")]
    TooManyMembers,
    #[error("the message is malformed")]
    Malformed(#[from] postcard::Error),
}

/// The library's codec: `postcard`, with a [`MessageFilter`] in between.
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
