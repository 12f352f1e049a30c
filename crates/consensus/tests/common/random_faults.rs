//! Random faults.

use super::{Cluster, Disk, Fault, ms};
use rand_pcg::rand_core::RngCore;
use sillward_fleet_settings::FleetSettings;
use std::time::Duration;

impl Cluster {
    /// Random faults and proposals, and a time without faults at the end.
    pub fn random_faults(&mut self, span: Duration, settings: impl Fn(u64) -> FleetSettings) {
        self.run(ms(2_500));
        let nodes = self.places.len();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        let mut number = 0;
        while self.now < span {
            let pause = ms(100 + self.draw(700));
            self.run(pause);
            let now = self.now;
            let (over, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
            ends = rest;
            over.into_iter().for_each(|(_, fault)| self.fault(fault));
            let place = self.draw(nodes as u64) as usize;
            let later = now + ms(200 + self.draw(4_000));
            match self.draw(9) {
                0 => {
                    self.fault(Fault::Isolate(place));
                    ends.push((later, Fault::Heal));
                }
                1 => {
                    let some = (0..nodes)
                        .filter(|_| self.random.next_u32() % 2 == 0)
                        .collect();
                    self.fault(Fault::Partition(some));
                    ends.push((later, Fault::Heal));
                }
                2 => {
                    let late = ms(100 + self.draw(4_000));
                    self.fault(Fault::Delay(place, late));
                    ends.push((later, Fault::Heal));
                }
                3 => {
                    self.fault(Fault::Pause(place));
                    ends.push((later, Fault::Resume(place)));
                }
                4 => {
                    self.fault(Fault::Kill(place));
                    ends.push((later, Fault::Start(place)));
                }
                5 => {
                    // Voters that are started anew almost at once, while somebody is cut off.
                    self.fault(Fault::Isolate(self.voters + place % (nodes - self.voters)));
                    for voter in 0..self.voters {
                        if self.draw(4) > 0 {
                            self.fault(Fault::Kill(voter));
                            ends.push((now + ms(20 + self.draw(100)), Fault::Start(voter)));
                        }
                    }
                    ends.push((later, Fault::Heal));
                }
                6 => self.lost_percent = self.draw(40) as u32,
                7 => {
                    let voter = place % self.voters;
                    let disk = if self.draw(2) == 0 {
                        Disk::Full
                    } else {
                        Disk::Slow(ms(3_000))
                    };
                    self.fault(Fault::Disk(voter, disk));
                    ends.push((later, Fault::Disk(voter, Disk::Good)));
                }
                _ => {}
            }
            let from = self.draw(nodes as u64) as usize;
            if self.places[from].node.is_some() {
                number += 1;
                let base = self.newest(from);
                self.propose(from, base, settings(number));
            }
        }
        self.fault(Fault::Heal);
        ends.into_iter().for_each(|(_, fault)| self.fault(fault));
        (0..self.voters).for_each(|place| self.fault(Fault::Disk(place, Disk::Good)));
        self.fault(Fault::Heal);
        for place in 0..nodes {
            if self.places[place].paused {
                self.fault(Fault::Resume(place));
            }
            self.fault(Fault::Start(place));
        }
        self.run(ms(10_000));
    }
}
