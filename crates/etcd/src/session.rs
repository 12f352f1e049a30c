//! What the source does next, and what it believes: without I/O and without a clock.
//!
//! A whole list (a Range in pages, all at the revision of the first) is followed by a watch from its revision + 1.
//! A connection that broke is followed by a watch from the last revision that is known, and by a whole list where
//! that can't be had: compacted away, in the future (etcd came back older), or another cluster's.

use crate::proto::{EventType, KeyValue, RangeResponse, WatchResponse};
use bytes::Bytes;
use sillward_runtime::random::Random;
use std::collections::BTreeMap;
use std::time::Duration;

/// Deleted keys whose revision is remembered, so that a late Put of before is told from a new one.
const DELETED: usize = 4096;

/// How long the source waits for what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// A connection not up after this time has failed.
    pub connect: Duration,
    /// A watch that has said nothing for so long is broken, whatever TCP says. It is asked for progress thrice in
    /// that time.
    pub keep_alive: Duration,
    /// The first pause between two tries; each is twice the last, and between half and all of itself.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
    /// A whole list is taken so often even if nothing asks for it: etcd restored from a copy that has caught up
    /// shows in nothing else.
    pub resync: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            connect: Duration::from_secs(2),
            keep_alive: Duration::from_secs(6),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(5),
            resync: Duration::from_secs(600),
        }
    }
}

/// What the session wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// A page of the list: keys after `after` (all if empty), at that revision (0: the newest).
    Range {
        /// The last key of the page before.
        after: Bytes,
        /// The list's revision.
        revision: i64,
    },
    /// A watch from that revision on.
    Watch {
        /// The first revision of interest.
        from: i64,
    },
    /// A whole list begins.
    Begin,
    /// A key has this value.
    Put {
        /// The key.
        key: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// A key is gone.
    Delete {
        /// The key.
        key: Bytes,
    },
    /// The whole list has been told.
    End,
    /// The connection is of no more use; the reason is for the log.
    Drop(String),
}

/// Where the session stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No connection.
    Out,
    /// A list is being read, at that revision.
    Listing { revision: i64 },
    /// A watch is asked for, or runs.
    Watching { created: bool },
}

/// The source's own state.
pub struct Session {
    stage: Stage,
    /// Every event up to here has been told; 0 before the first whole list.
    revision: i64,
    /// The revision of the last whole list.
    listed: i64,
    cluster: Option<u64>,
    /// The last revision of each key that is there, and of some that are not any more.
    keys: BTreeMap<Bytes, i64>,
    deleted: BTreeMap<Bytes, i64>,
    /// Events of a response that came in fragments, until its last.
    fragments: Vec<(i64, Bytes, Option<Bytes>)>,
    random: Random,
    pause: Duration,
    times: Times,
    endpoints: usize,
    endpoint: usize,
}

impl Session {
    /// For so many endpoints, at least 1. `seed` spreads the pauses of nodes that lost their watches together.
    pub fn new(endpoints: usize, times: Times, seed: u64) -> Self {
        let mut random = Random::seeded(seed);
        let endpoint = random.number() as usize % endpoints.max(1);
        Session {
            stage: Stage::Out,
            revision: 0,
            listed: 0,
            cluster: None,
            keys: BTreeMap::new(),
            deleted: BTreeMap::new(),
            fragments: Vec::new(),
            random,
            pause: times.first_pause,
            times,
            endpoints: endpoints.max(1),
            endpoint,
        }
    }

    /// Every event up to this revision has been told.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Which endpoint to try.
    pub fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Whether a watch runs: everything that etcd tells is known.
    pub fn is_current(&self) -> bool {
        self.stage == Stage::Watching { created: true }
    }

    /// A connection is up.
    pub fn connected(&mut self) -> Vec<Wish> {
        self.fragments.clear();
        if self.revision == 0 {
            self.list()
        } else {
            self.watch()
        }
    }

    /// A whole list is due though the watch runs.
    pub fn resync(&mut self) -> Vec<Wish> {
        self.list()
    }

    /// The connection is gone, or was given up. Returns how long to wait before the next try, at the next endpoint.
    pub fn lost(&mut self) -> Duration {
        // One that came as far as a watch was good: the next try is soon.
        if self.is_current() {
            self.pause = self.times.first_pause;
        }
        // Half a list has replaced what was known: only a whole one will do.
        if matches!(self.stage, Stage::Listing { .. }) {
            self.revision = 0;
        }
        self.stage = Stage::Out;
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        let pause = self.pause.mul_f64(0.5 + self.random.fraction() / 2.0);
        self.pause = (self.pause * 2).min(self.times.longest_pause);
        pause
    }

    fn list(&mut self) -> Vec<Wish> {
        self.stage = Stage::Listing { revision: 0 };
        vec![Wish::Range {
            after: Bytes::new(),
            revision: 0,
        }]
    }

    fn watch(&mut self) -> Vec<Wish> {
        self.stage = Stage::Watching { created: false };
        vec![Wish::Watch {
            from: self.revision + 1,
        }]
    }

    /// A page of the list has come.
    pub fn page(&mut self, page: RangeResponse) -> Vec<Wish> {
        let Stage::Listing { revision } = self.stage else {
            return Vec::new();
        };
        let Some(header) = page.header else {
            return vec![Wish::Drop("a list without a header".to_owned())];
        };
        let mut wishes = Vec::new();
        if revision == 0 {
            // The first page says at which revision the others must be read, and which cluster this is.
            self.stage = Stage::Listing {
                revision: header.revision,
            };
            self.cluster = Some(header.cluster_id);
            self.keys.clear();
            self.deleted.clear();
            wishes.push(Wish::Begin);
        }
        let Stage::Listing { revision } = self.stage else {
            return wishes;
        };
        let last = page.kvs.last().map(|kv| kv.key.clone());
        for KeyValue {
            key,
            value,
            mod_revision,
            ..
        } in page.kvs
        {
            self.keys.insert(key.clone(), mod_revision);
            wishes.push(Wish::Put { key, value });
        }
        match last.filter(|_| page.more) {
            Some(after) => wishes.push(Wish::Range { after, revision }),
            None => {
                (self.revision, self.listed) = (revision, revision);
                wishes.push(Wish::End);
                wishes.extend(self.watch());
            }
        }
        wishes
    }

    /// A page could not be had: its revision was compacted while the list was read.
    pub fn page_compacted(&mut self) -> Vec<Wish> {
        self.list()
    }

    /// A response of the watch has come.
    pub fn watched(&mut self, response: WatchResponse) -> Vec<Wish> {
        let Stage::Watching { .. } = self.stage else {
            return Vec::new();
        };
        let Some(header) = response.header else {
            return vec![Wish::Drop("a watch without a header".to_owned())];
        };
        if self
            .cluster
            .is_some_and(|cluster| cluster != header.cluster_id)
        {
            return self.list();
        }
        if response.canceled {
            // Compacted away, or for a reason of etcd's own: a whole list tells what was missed.
            return match response.compact_revision {
                0 if response.cancel_reason.is_empty() => {
                    vec![Wish::Drop("the watch was cancelled".to_owned())]
                }
                0 => vec![Wish::Drop(format!(
                    "the watch was cancelled: {}",
                    response.cancel_reason
                ))],
                _ => self.list(),
            };
        }
        // Older than what is known: a watch from here would wait for a revision that may never come, or come with
        // something else in it.
        if header.revision < self.revision && (response.created || response.events.is_empty()) {
            return self.list();
        }
        if response.created {
            self.stage = Stage::Watching { created: true };
            self.pause = self.times.first_pause;
            return Vec::new();
        }
        for event in response.events {
            let Some(kv) = event.kv else { continue };
            let value = (event.r#type != EventType::Delete as i32).then_some(kv.value);
            self.fragments.push((kv.mod_revision, kv.key, value));
        }
        if response.fragment {
            return Vec::new();
        }
        let mut events = std::mem::take(&mut self.fragments);
        if events.is_empty() {
            // Progress: everything up to here has been sent.
            self.revision = self.revision.max(header.revision);
            return Vec::new();
        }
        events.sort_by_key(|(revision, ..)| *revision);
        let newest = events.last().map_or(0, |(revision, ..)| *revision);
        let wishes = events
            .into_iter()
            .filter_map(|(revision, key, value)| self.event(revision, key, value));
        let wishes = wishes.collect();
        self.revision = self.revision.max(newest);
        wishes
    }

    /// An event counts if it is newer than what is known of its key, in whatever order events come.
    fn event(&mut self, revision: i64, key: Bytes, value: Option<Bytes>) -> Option<Wish> {
        let known = self
            .keys
            .get(&key)
            .or_else(|| self.deleted.get(&key))
            .copied();
        // Of a key that was not in the list, what is older than the list is not news either.
        if revision <= known.unwrap_or(self.listed) {
            return None;
        }
        match value {
            Some(value) => {
                self.deleted.remove(&key);
                self.keys.insert(key.clone(), revision);
                Some(Wish::Put { key, value })
            }
            None => {
                self.keys.remove(&key);
                if self.deleted.len() >= DELETED {
                    let oldest = self.deleted.iter().min_by_key(|(_, revision)| **revision);
                    let oldest = oldest.map(|(key, _)| key.clone());
                    oldest.map(|key| self.deleted.remove(&key));
                }
                self.deleted.insert(key.clone(), revision);
                Some(Wish::Delete { key })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::proto::{Event, ResponseHeader};

    fn header(cluster_id: u64, revision: i64) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            cluster_id,
            revision,
            ..ResponseHeader::default()
        })
    }

    fn kv(key: &str, mod_revision: i64, value: &str) -> KeyValue {
        KeyValue {
            key: Bytes::copy_from_slice(key.as_bytes()),
            value: Bytes::copy_from_slice(value.as_bytes()),
            mod_revision,
            ..KeyValue::default()
        }
    }

    fn event(key: &str, revision: i64, value: Option<&str>) -> Event {
        let kind = if value.is_some() {
            EventType::Put
        } else {
            EventType::Delete
        };
        Event {
            r#type: kind as i32,
            kv: Some(kv(key, revision, value.unwrap_or_default())),
        }
    }

    fn put(key: &str, value: &str) -> Wish {
        let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        Wish::Put {
            key: bytes(key),
            value: bytes(value),
        }
    }

    fn delete(key: &str) -> Wish {
        Wish::Delete {
            key: Bytes::copy_from_slice(key.as_bytes()),
        }
    }

    fn events(revision: i64, events: Vec<Event>) -> WatchResponse {
        WatchResponse {
            header: header(1, revision),
            events,
            ..WatchResponse::default()
        }
    }

    fn created(cluster: u64, revision: i64) -> WatchResponse {
        WatchResponse {
            header: header(cluster, revision),
            created: true,
            ..WatchResponse::default()
        }
    }

    fn whole_list() -> Vec<Wish> {
        vec![Wish::Range {
            after: Bytes::new(),
            revision: 0,
        }]
    }

    /// A session that watches after a list of `a` and `b` at revision 10.
    fn watching() -> Session {
        let mut session = Session::new(3, Times::default(), 1);
        assert_eq!(session.connected(), whole_list());
        let page = |kvs, more| RangeResponse {
            header: header(1, 10),
            kvs,
            more,
            count: 2,
        };
        let wishes = session.page(page(vec![kv("a", 4, "1")], true));
        let next = Wish::Range {
            after: Bytes::from_static(b"a"),
            revision: 10,
        };
        assert_eq!(wishes, [Wish::Begin, put("a", "1"), next]);
        let wishes = session.page(page(vec![kv("b", 9, "2")], false));
        assert_eq!(wishes, [put("b", "2"), Wish::End, Wish::Watch { from: 11 }]);
        assert_eq!(session.watched(created(1, 10)), []);
        assert!(session.is_current());
        session
    }

    #[test]
    fn events_count_once_in_the_order_of_revisions_however_they_are_delivered() {
        let mut session = watching();
        let fragment = |fragment, list| WatchResponse {
            fragment,
            ..events(12, list)
        };
        assert_eq!(
            session.watched(fragment(true, vec![event("a", 12, Some("3"))])),
            []
        );
        assert_eq!(session.revision(), 10, "half a revision is none");
        let last = session.watched(fragment(
            false,
            vec![event("b", 12, None), event("c", 11, Some("4"))],
        ));
        assert_eq!(last, [put("c", "4"), put("a", "3"), delete("b")]);
        assert_eq!(session.revision(), 12);
        // Again, and what is older: no news.
        let again = vec![
            event("a", 12, Some("3")),
            event("b", 12, None),
            event("b", 9, Some("2")),
            event("before", 7, Some("the list")),
        ];
        assert_eq!(session.watched(events(12, again)), []);
        // Revisions in the wrong order: each key has its newest.
        assert_eq!(
            session.watched(events(15, vec![event("a", 15, Some("5"))])),
            [put("a", "5")]
        );
        let late = vec![event("a", 14, None), event("c", 14, None)];
        assert_eq!(session.watched(events(15, late)), [delete("c")]);
        assert_eq!(session.revision(), 15);
        // Progress moves the revision on.
        assert_eq!(session.watched(events(40, vec![])), []);
        session.lost();
        assert_eq!(session.connected(), [Wish::Watch { from: 41 }]);
    }

    #[test]
    fn what_is_compacted_older_or_anothers_is_listed_anew() {
        let canceled = |compact_revision, reason: &str| WatchResponse {
            header: header(1, 99),
            canceled: true,
            compact_revision,
            cancel_reason: reason.to_owned(),
            ..WatchResponse::default()
        };
        let mut session = watching();
        session.lost();
        assert_eq!(session.connected(), [Wish::Watch { from: 11 }]);
        assert_eq!(session.watched(canceled(50, "compacted")), whole_list());
        // While the list is read, its revision may be compacted too.
        let page = RangeResponse {
            header: header(1, 99),
            kvs: vec![kv("a", 4, "1")],
            more: true,
            count: 9,
        };
        assert_eq!(session.page(page).len(), 3);
        assert_eq!(session.page_compacted(), whole_list());
        // A lower revision, at the watch's start or in a progress notice.
        let mut session = watching();
        session.lost();
        session.connected();
        assert_eq!(session.watched(created(1, 3)), whole_list());
        assert_eq!(watching().watched(events(9, vec![])), whole_list());
        // Another cluster, whatever its revision.
        assert_eq!(
            watching().watched(WatchResponse {
                header: header(2, 11),
                ..events(11, vec![])
            }),
            whole_list()
        );
        // Any other end is the connection's, and the next try watches on.
        let mut session = watching();
        assert!(matches!(
            session.watched(canceled(0, "permission denied"))[..],
            [Wish::Drop(_)]
        ));
        session.lost();
        assert_eq!(session.connected(), [Wish::Watch { from: 11 }]);
        // A list at a lower revision makes that the known one.
        let mut session = watching();
        session.resync();
        let page = RangeResponse {
            header: header(2, 5),
            kvs: vec![kv("z", 5, "9")],
            more: false,
            count: 1,
        };
        assert_eq!(
            session.page(page),
            [
                Wish::Begin,
                put("z", "9"),
                Wish::End,
                Wish::Watch { from: 6 }
            ]
        );
        assert_eq!(session.watched(created(2, 5)), []);
        // And keys that were known before are news again.
        let again = WatchResponse {
            header: header(2, 6),
            ..events(6, vec![event("a", 6, Some("1"))])
        };
        assert_eq!(session.watched(again), [put("a", "1")]);
    }

    #[test]
    fn a_list_that_broke_off_is_read_anew() {
        let mut session = watching();
        session.resync();
        let page = RangeResponse {
            header: header(1, 30),
            kvs: vec![kv("a", 4, "1")],
            more: true,
            count: 9,
        };
        session.page(page);
        session.lost();
        assert_eq!(session.connected(), whole_list());
    }

    #[test]
    fn tries_go_round_the_endpoints_with_growing_pauses() {
        let times = Times::default();
        let mut session = Session::new(3, times, 7);
        let first = session.endpoint();
        let mut most = times.first_pause;
        for i in 1..20 {
            let pause = session.lost();
            assert_eq!(session.endpoint(), (first + i) % 3);
            assert!(pause >= most / 2 && pause <= most, "{pause:?} of {most:?}");
            most = (most * 2).min(times.longest_pause);
        }
        let mut session = watching();
        assert!(
            session.lost() <= times.first_pause,
            "one that was good is tried again soon"
        );
    }

    /// After a restart of etcd: all lose their watches at once, and it is down for a while.
    #[test]
    fn seven_hundred_watchers_come_back_spread() {
        let times = Times::default();
        let (mut arrivals, down, mut lists) = (Vec::new(), Duration::from_secs(3), 0);
        for seed in 0..700u64 {
            let mut session = Session::new(3, times, seed);
            session.connected();
            let page = RangeResponse {
                header: header(1, 10),
                ..RangeResponse::default()
            };
            session.page(page);
            session.watched(created(1, 10));
            let mut at = session.lost();
            while at < down {
                at += session.lost();
            }
            arrivals.push(at);
            session.connected();
            // A quarter of them had missed the last revisions, which are compacted away.
            let compact_revision = if seed % 4 == 0 { 12 } else { 0 };
            let response = WatchResponse {
                header: header(1, 14),
                canceled: compact_revision > 0,
                created: compact_revision == 0,
                compact_revision,
                ..WatchResponse::default()
            };
            lists += usize::from(session.watched(response) == whole_list());
        }
        arrivals.sort();
        let spread = arrivals[699] - arrivals[0];
        let tenth = Duration::from_millis(100);
        let peak = arrivals.iter().map(|from| {
            arrivals
                .iter()
                .filter(|at| *at >= from && **at < *from + tenth)
                .count()
        });
        let peak = peak.max().expect("some");
        println!("peak {peak} in 100 ms, spread {spread:?}, {lists} lists");
        assert_eq!(lists, 175);
        assert!(peak < 700 / 10, "{peak} of 700 within 100 ms");
        assert!(spread > Duration::from_secs(1), "{spread:?}");
    }
}
