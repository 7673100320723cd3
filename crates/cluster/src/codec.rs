//! What the membership library is shown of messages: all that speaks of this coordinator's own name, and of those who
//! were forgotten, is looked at first. The library takes whoever bears its name for an earlier life of its own and
//! declares it failed; where it is a later one, the two would end each other without end.

use crate::model::{Id, Name};
use crate::MOST_MEMBERS;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How many of those who were forgotten are still known by their number, so that no old word brings them back.
const MOST_FORGOTTEN: usize = 2 * MOST_MEMBERS;

/// What was seen in messages.
pub(crate) struct Observed {
    /// This coordinator.
    pub(crate) own: Id,
    /// A later life under its name, of which others spoke.
    pub(crate) superseded: Option<Id>,
    /// Its own number for refuting suspicion, as it was last sent.
    pub(crate) incarnation: u16,
    /// Answers to this one's own probes that came since they were last looked at.
    pub(crate) answers: u32,
    /// Names of which the library was told.
    known: BTreeSet<Name>,
    /// Those who were forgotten since: the last life, and how often it came back.
    forgotten: BTreeMap<Name, (u64, u16)>,
    order: VecDeque<Name>,
}

impl Observed {
    pub(crate) fn new(own: Id) -> Observed {
        Observed {
            own,
            superseded: None,
            incarnation: 0,
            answers: 0,
            known: BTreeSet::new(),
            forgotten: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Whether no further name can be taken.
    pub(crate) fn is_full(&self) -> bool {
        self.known.len() >= MOST_MEMBERS
    }

    /// The library forgets one who has been gone for long.
    pub(crate) fn forget(&mut self, id: &Id) {
        self.known.remove(&id.name);
        if self
            .forgotten
            .insert(id.name, (id.generation, id.returns))
            .is_none()
        {
            self.order.push_back(id.name);
        }
        if self.order.len() > MOST_FORGOTTEN {
            if let Some(oldest) = self.order.pop_front() {
                self.forgotten.remove(&oldest);
            }
        }
    }

    /// Whether a message that names this one may be taken.
    fn admit(&mut self, id: &Id, state: State) -> Result<(), Unusable> {
        if id.name == self.own.name && id.supersedes(&self.own) {
            if self.superseded.is_none_or(|known| id.supersedes(&known)) {
                self.superseded = Some(*id);
            }
            // Where that one has ended, too, there is nobody to stand back for, and nothing to declare.
            if state != State::Down {
                return Err(Unusable::Superseded);
            }
        }
        if self.is_full() && !self.known.contains(&id.name) {
            return Err(Unusable::Full);
        }
        self.known.insert(id.name);
        Ok(())
    }
}

/// Why a message is not taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Unusable {
    #[error("it speaks of a later process under this one's name")]
    Superseded,
    #[error("it speaks of more members than can be kept")]
    Full,
    #[error("{0}")]
    Form(#[from] postcard::Error),
}

#[derive(Clone)]
pub(crate) struct Observing(pub(crate) Rc<RefCell<Observed>>);

impl Codec<Id> for Observing {
    type Error = Unusable;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), Unusable> {
        self.0.borrow_mut().incarnation = header.src_incarnation;
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, Unusable> {
        let header: Header<Id> = PostcardCodec.decode_header(buf)?;
        let mut observed = self.0.borrow_mut();
        observed.admit(&header.src, State::Alive)?;
        observed.answers += u32::from(matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. }
        ));
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), Unusable> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Unusable> {
        let member: Member<Id> = PostcardCodec.decode_member(buf)?;
        let mut observed = self.0.borrow_mut();
        observed.admit(member.id(), member.state())?;
        let id = member.id();
        let old = observed
            .forgotten
            .get(&id.name)
            .is_some_and(|last| (id.generation, id.returns) <= *last);
        Ok(if old { Member::down(*id) } else { member })
    }
}
