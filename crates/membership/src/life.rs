//! A member's name, the life it is in, and what is claimed of that.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// A member's name: 1 to [`Name::MOST`] bytes. Cheap to copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Name {
    /// The longest name, in bytes: an update must fit a frame of 256 bytes several times.
    pub const MOST: usize = 24;

    /// A name; `None` if it is empty, too long, or has control characters.
    pub fn new(text: &str) -> Option<Self> {
        let good =
            !text.is_empty() && text.len() <= Self::MOST && !text.chars().any(char::is_control);
        good.then(|| Name(text.into()))
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of a process under its name: its incarnation. Ordered by epoch, then salt; a newer life ends every older one.
///
/// The epoch rises from life to life, as far as the folder and the other members remember. The salt is drawn anew for each:
/// where both memories are lost, a life of an equal epoch is still another life (but for 1 in 2^32).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// From 1.
    pub epoch: u32,
    /// Never 0.
    pub salt: u32,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.epoch, self.salt)
    }
}

/// What a life is held to be. Among claims of one life and word the later one here counts more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// Somebody had no answer; it may still speak for itself.
    Suspected,
    /// It said goodbye.
    Left,
    /// It did not answer for long enough. Final: it must come back in a new life.
    Gone,
}

impl State {
    /// Whether it is counted among the fleet.
    pub fn is_living(self) -> bool {
        self <= State::Suspected
    }
}

/// What somebody claims of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Whom it is about.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// In which life.
    pub life: Life,
    /// A number that the member itself raises to speak against a suspicion.
    pub word: u32,
    /// What is claimed.
    pub state: State,
    /// Who suspects (a hash of the name), so that independent suspicions can be told apart; 0 else.
    pub by: u32,
}

impl Claim {
    /// Whether it says more than what is known: a newer life, a newer word, or worse of the same. An end is final for its
    /// life, whatever the word.
    pub fn outdoes(&self, life: Life, word: u32, state: State) -> bool {
        if self.life != life {
            return self.life > life;
        }
        match (self.state.is_living(), state.is_living()) {
            (_, false) => false,
            (false, true) => true,
            (true, true) => (self.word, self.state) > (word, state),
        }
    }
}

/// What a member tells of itself once, at the start of a life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct About {
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The build it runs.
    pub build: String,
    /// Names of what it speaks, so that nobody asks it for what it does not know.
    pub speaks: Vec<String>,
}
