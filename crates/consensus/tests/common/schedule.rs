//! The virtual time: which event is next, and which values the processes use in the meantime.

use super::{Cluster, Event, InFlight, ms};
use sillward_consensus::node;
use std::cmp::Reverse;
use std::time::Duration;

impl Cluster {
    /// Updates a process's next wake-up and the value that it uses from now on.
    pub(super) fn reschedule(&mut self, index: usize) {
        let local = self.local_time(index);
        let process = &self.processes[index];
        if process.paused || process.node.is_none() {
            self.processes[index].next_wakeup = Duration::MAX;
            return;
        }
        let node = process.node.as_ref().map(|node| node.next_wakeup(local));
        let voter = process.voter.as_ref().map(|voter| voter.next_wakeup(local));
        let due = node
            .into_iter()
            .chain(voter)
            .min()
            .expect("the process has a node");
        self.processes[index].next_wakeup = self.true_time(index, due);
        let effective = self.effective_value(index, &self.key.clone());
        let current_value = (!effective.conservative).then_some(effective.value);
        if self.processes[index]
            .current_value
            .as_ref()
            .map(|(_, value)| value)
            != current_value.as_ref()
        {
            self.end_value_interval(index);
            self.processes[index].current_value = current_value.map(|value| (self.now, value));
        }
    }

    /// Records the use of the current value until now.
    pub(super) fn end_value_interval(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if let Some((from, value)) = process.current_value.take() {
            process.leased_time += now - from;
            process.used_values.push((from, now, value));
        }
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until the condition holds, for at most `limit`. Returns how long it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Option<Duration> {
        let (started_at, end) = (self.now, self.now + limit);
        let mut next_check = started_at;
        loop {
            // The condition is checked at most once per millisecond.
            if self.now >= next_check {
                if condition(self) {
                    return Some(self.now - started_at);
                }
                next_check = self.now + ms(1);
            }
            let message = self
                .queue
                .peek()
                .map_or(Duration::MAX, |Reverse((at, _))| *at);
            let (process, due) = self
                .processes
                .iter()
                .map(|process| process.next_wakeup)
                .enumerate()
                .min_by_key(|(_, due)| *due)
                .expect("the cluster has processes");
            let next = message.min(due).min(self.resend_at);
            if next > end {
                self.now = end;
                return condition(self).then_some(self.now - started_at);
            }
            self.now = self.now.max(next);
            if next == self.resend_at {
                self.resend_at = self.now + ms(500);
                self.resend_proposals();
            } else if next == message {
                let Some(Reverse((_, sequence))) = self.queue.pop() else {
                    continue;
                };
                if let Some((from, to, message)) = self.in_flight.remove(&sequence) {
                    // A message is lost if its link fails before the message arrives.
                    if self.is_connected(from, to) || matches!(message, InFlight::WriteDone(..)) {
                        self.deliver(from, to, message);
                    }
                }
            } else {
                self.handle_as_node(process, node::Event::Tick);
                self.handle_as_voter(process, Event::Tick);
            }
        }
    }
}
