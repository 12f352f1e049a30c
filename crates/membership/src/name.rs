//! Member names.

use std::fmt;
use std::rc::Rc;

/// A member's name: 1 to [`Name::MAX_BYTES`] bytes without control characters. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Name {
    /// The longest name, in bytes, so that several updates fit one frame of 256 bytes.
    pub const MAX_BYTES: usize = 24;

    /// Creates a name; `None` if it is empty, too long or contains control characters.
    pub fn new(text: &str) -> Option<Self> {
        let valid = !text.is_empty()
            && text.len() <= Self::MAX_BYTES
            && !text.chars().any(char::is_control);
        valid.then(|| Name(text.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
