//! What the membership library is shown of messages: all that speaks of this coordinator's own name, and of those who
//! were forgotten, is looked at first. The library takes whoever bears its name for an earlier life of its own and
//! declares it failed; where it is a later one, the two would end each other without end.

use crate::model::{MemberId, NameHash};
use crate::MAX_MEMBERS;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How many of those who were forgotten are still known by their number, so that no old word brings them back.
const MAX_FORGOTTEN: usize = 2 * MAX_MEMBERS;

/// What was seen in messages.
pub(crate) struct MessageFilter {
    /// This coordinator.
    pub(crate) local: MemberId,
    /// A later life under its name, of which others spoke.
    pub(crate) newer_process: Option<MemberId>,
    /// Its own number for refuting suspicion, as it was last sent.
    pub(crate) local_incarnation: u16,
    /// Answers to this one's own probes that came since they were last looked at.
    pub(crate) probe_acks: u32,
    /// Names of which the library was told.
    known: BTreeSet<NameHash>,
    /// Those who were forgotten since: the last life, and how often it came back.
    forgotten: BTreeMap<NameHash, (u64, u16)>,
    order: VecDeque<NameHash>,
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
            order: VecDeque::new(),
        }
    }

    /// Whether no further name can be taken.
    pub(crate) fn is_full(&self) -> bool {
        self.known.len() >= MAX_MEMBERS
    }

    /// The library forgets one who has been gone for long.
    pub(crate) fn forget(&mut self, id: &MemberId) {
        self.known.remove(&id.name);
        if self
            .forgotten
            .insert(id.name, (id.generation, id.rejoins))
            .is_none()
        {
            self.order.push_back(id.name);
        }
        if self.order.len() > MAX_FORGOTTEN {
            if let Some(oldest) = self.order.pop_front() {
                self.forgotten.remove(&oldest);
            }
        }
    }

    /// Whether a message that names this one may be taken.
    fn check(&mut self, id: &MemberId, state: State) -> Result<(), FilterError> {
        if id.name == self.local.name && id.supersedes(&self.local) {
            if self.newer_process.is_none_or(|known| id.supersedes(&known)) {
                self.newer_process = Some(*id);
            }
            // Where that one has ended, too, there is nobody to stand back for, and nothing to declare.
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
}

/// Why a message is not taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FilterError {
    #[error("it speaks of a later process under this one's name")]
    NewerProcess,
    #[error("it speaks of more members than can be kept")]
    TooManyMembers,
    #[error("{0}")]
    Malformed(#[from] postcard::Error),
}

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
        let mut observed = self.0.borrow_mut();
        observed.check(&header.src, State::Alive)?;
        observed.probe_acks += u32::from(matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. }
        ));
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
        let mut observed = self.0.borrow_mut();
        observed.check(member.id(), member.state())?;
        let id = member.id();
        let old = observed
            .forgotten
            .get(&id.name)
            .is_some_and(|last| (id.generation, id.rejoins) <= *last);
        Ok(if old { Member::down(*id) } else { member })
    }
}
