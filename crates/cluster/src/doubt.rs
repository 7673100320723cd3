//! A coordinator's doubt of itself (after Lifeguard: Dadgar, Phillips, Currey 2018). One that was stopped, starved or
//! can't be heard sees others fail, though it is the one that failed: the more it doubts itself, the longer it waits
//! before it says so.

/// The most doubt.
pub const MOST: u32 = 8;
/// By how much timers are stretched at most: one that is cut off alone has to find out in the end.
const MOST_STRETCH: u32 = 3;
/// With so much doubt a coordinator does nothing for others: what it sees may be its own fault.
pub const TOO_MUCH: u32 = 4;

/// What tells for or against oneself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A probe of ours was answered.
    Answered,
    /// A probe of ours was not, and of those who were asked then nobody heard us.
    Unheard,
    /// Others suspected us, and we had to refute it.
    Suspected,
    /// We did not run for a while.
    Late,
}

/// How much a coordinator doubts itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt(u32);

impl Doubt {
    /// Takes in a sign.
    pub fn note(&mut self, sign: Sign) {
        self.0 = match sign {
            Sign::Answered => self.0.saturating_sub(1),
            Sign::Suspected => (self.0 + 1).min(MOST),
            Sign::Unheard | Sign::Late => (self.0 + 2).min(MOST),
        };
    }

    /// How much it is.
    pub fn score(self) -> u32 {
        self.0
    }

    /// By how much timers that lead to a verdict on others are stretched.
    pub fn stretch(self) -> u32 {
        (self.0 + 1).min(MOST_STRETCH)
    }

    /// Whether it is too much to do anything for others.
    pub fn is_too_much(self) -> bool {
        self.0 >= TOO_MUCH
    }
}

#[cfg(test)]
mod tests;
