//! Time: what is due next, and the values that processes use meanwhile.

use super::{Cluster, Event, InFlight, ms};
use sillward_consensus::node;
use std::cmp::Reverse;
use std::time::Duration;

impl Cluster {
    /// Looks when a place is due, and what it acts on from now on.
    pub(super) fn reschedule(&mut self, at: usize) {
        let local = self.local(at);
        let place = &self.places[at];
        if place.paused || place.node.is_none() {
            self.places[at].due = Duration::MAX;
            return;
        }
        let node = place.node.as_ref().map(|node| node.next_wakeup(local));
        let voter = place.voter.as_ref().map(|voter| voter.next_wakeup(local));
        let due = node.into_iter().chain(voter).min().expect("a node");
        self.places[at].due = self.true_time(at, due);
        let reading = self.effective_value(at, &self.key.clone());
        let acts = (!reading.conservative).then_some(reading.value);
        if self.places[at].acts.as_ref().map(|(_, value)| value) != acts.as_ref() {
            self.close(at);
            self.places[at].acts = acts.map(|value| (self.now, value));
        }
    }

    pub(super) fn close(&mut self, at: usize) {
        let now = self.now;
        let place = &mut self.places[at];
        if let Some((from, value)) = place.acts.take() {
            place.leased_time += now - from;
            place.acted.push((from, now, value));
        }
    }

    pub fn run(&mut self, span: Duration) {
        self.until(span, |_| false);
    }

    /// Runs until that holds, at most so long; how long it took.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let (begun, end) = (self.now, self.now + most);
        let mut looked = begun;
        loop {
            // Looked at every millisecond at most: readings are as of then.
            if self.now >= looked {
                if holds(self) {
                    return Some(self.now - begun);
                }
                looked = self.now + ms(1);
            }
            let message = self
                .queue
                .peek()
                .map_or(Duration::MAX, |Reverse((at, _))| *at);
            let (place, due) = self
                .places
                .iter()
                .map(|place| place.due)
                .enumerate()
                .min_by_key(|(_, due)| *due)
                .expect("places");
            let next = message.min(due).min(self.resend_at);
            if next > end {
                self.now = end;
                return holds(self).then_some(self.now - begun);
            }
            self.now = self.now.max(next);
            if next == self.resend_at {
                self.resend_at = self.now + ms(500);
                self.resend();
            } else if next == message {
                let Some(Reverse((_, sequence))) = self.queue.pop() else {
                    continue;
                };
                if let Some((from, to, message)) = self.in_flight.remove(&sequence) {
                    // A message is lost if its link is cut before it arrives.
                    if self.is_connected(from, to) || matches!(message, InFlight::Written(..)) {
                        self.deliver(from, to, message);
                    }
                }
            } else {
                self.node(place, node::Event::Tick);
                self.voter(place, Event::Tick);
            }
        }
    }
}
