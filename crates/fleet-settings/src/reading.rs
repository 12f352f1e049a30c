//! What a node acts on that knows versions from one that is in force up to the newest, and whether it may act on them.

use crate::{History, Key, Rules, Value};

/// What is acted on of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The value.
    pub value: Value,
    /// The version that it is of; of a careful one the newest that is known.
    pub version: u64,
    /// Whether it is the careful one, which contradicts no other.
    pub careful: bool,
}

/// Which versions a node knows of, and whether it may act on what they say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// The newest that is known to be in force: nobody has a right to act on an older one.
    pub force: u64,
    /// The newest that is known to be confirmed.
    pub newest: u64,
    /// Whether the right to act has not run out.
    pub right: bool,
}

impl History {
    /// The rules of the versions that a node must consider; `None` in the place of one that it does not have or can't read.
    fn considered(&self, standing: Standing) -> Vec<(u64, Option<Rules>)> {
        let first = standing
            .force
            .max(standing.newest.saturating_sub(crate::MOST_KEPT as u64));
        let rules = |number: u64| match number {
            0 => Some(Rules::default()),
            number => self.get(number).and_then(crate::Version::read),
        };
        (first..=standing.newest)
            .map(|number| (number, rules(number)))
            .collect()
    }

    /// Every key that a node has to read: all that any version which it knows names, and those of `more`.
    pub fn readings(&self, standing: Standing, more: &[Key]) -> Vec<(Key, Reading)> {
        let considered = self.considered(standing);
        let mut keys: Vec<Key> = considered
            .iter()
            .flat_map(|(_, rules)| rules.iter().flat_map(Rules::keys))
            .collect();
        keys.extend(more.iter().cloned());
        keys.sort();
        keys.dedup();
        keys.into_iter()
            .map(|key| (key.clone(), read(&key, standing, &considered)))
            .collect()
    }

    /// What is acted on of one key.
    pub fn reading(&self, standing: Standing, key: &Key) -> Reading {
        read(key, standing, &self.considered(standing))
    }
}

fn read(key: &Key, standing: Standing, considered: &[(u64, Option<Rules>)]) -> Reading {
    let known = considered
        .iter()
        .rev()
        .find_map(|(number, rules)| Some((*number, rules.as_ref()?.get(key))));
    let (version, newest) = known.unwrap_or((standing.newest, key.absent()));
    let Some(careful) = key.careful() else {
        return Reading {
            value: newest,
            version,
            careful: false,
        };
    };
    // A list's word that somebody is out holds while it may be so: of those in doubt, that of every version.
    let listed = matches!(key, Key::Out(_) | Key::Away(_));
    let all_known = considered.iter().all(|(_, rules)| rules.is_some());
    let one = considered
        .iter()
        .all(|(_, rules)| rules.as_ref().is_some_and(|rules| rules.get(key) == newest));
    if one && (standing.right || listed) && all_known {
        return Reading {
            value: newest,
            version,
            careful: false,
        };
    }
    // Who is on no list that is known can't be held out for a list that may be: nobody would be served.
    if listed
        && considered
            .iter()
            .all(|(_, rules)| rules.as_ref().is_none_or(|r| r.get(key) == key.absent()))
    {
        return Reading {
            value: key.absent(),
            version,
            careful: false,
        };
    }
    Reading {
        value: careful,
        version: standing.newest,
        careful: true,
    }
}
