//! Encodes actions as numbers, so that the digests depend on the decisions and not on the names of types and fields.

use sillward_balancer::Action;
use std::time::Duration;

/// Encodes an absent value.
const ABSENT: u64 = u64::MAX;

/// A digest of all actions of a sequence, in order.
pub struct Digest {
    hasher: blake3::Hasher,
    pub actions: u64,
}

impl Digest {
    pub fn new() -> Self {
        Digest {
            hasher: blake3::Hasher::new(),
            actions: 0,
        }
    }

    pub fn finish(&self) -> String {
        self.hasher.finalize().to_hex()[..32].to_owned()
    }

    pub fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    fn numbers(&mut self, numbers: &[u64]) {
        self.actions += 1;
        numbers.iter().for_each(|number| self.number(*number));
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => {
                self.numbers(&[1, id.0, server.0, nanoseconds(*timeout)]);
            }
            Action::Reject { id, retry_after } => {
                self.numbers(&[2, id.0, retry_after.map_or(ABSENT, nanoseconds)]);
            }
            Action::Fail { id } => self.numbers(&[3, id.0]),
            Action::CancelAttempt { id, attempt } => self.numbers(&[4, id.0, u64::from(*attempt)]),
            Action::SetTimer { after, token } => self.numbers(&[5, nanoseconds(*after), *token]),
            Action::HealthCheck { server } => self.numbers(&[6, server.0]),
            Action::CloseIdle { server } => self.numbers(&[7, server.0]),
            Action::WatchEndpoints { on } => self.numbers(&[8, u64::from(*on)]),
            Action::FetchEndpoints => self.numbers(&[9]),
            Action::SendToPeer { to, data } => {
                self.numbers(&[10, to.map_or(ABSENT, u64::from)]);
                self.bytes(data);
            }
            Action::Log { text } => {
                self.numbers(&[11]);
                self.bytes(text.as_bytes());
            }
        }
    }
}

fn nanoseconds(time: Duration) -> u64 {
    time.as_nanos() as u64
}
