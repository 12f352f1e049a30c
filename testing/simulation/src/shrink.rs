//! Makes a failing script smaller: takes out faults, requests, nodes and backends for as long as the same checker fails.

use crate::run::{Options, play};
use crate::script::{Manner, NEVER, Script};

/// The most nights that are played for it.
const PLAYS: usize = 1500;

/// Plays candidates, and knows which fail as the first one did.
struct Judge<'a> {
    options: &'a Options,
    checker: &'static str,
    plays: usize,
}

impl Judge<'_> {
    fn fails(&mut self, script: &Script) -> bool {
        if self.plays >= PLAYS {
            return false;
        }
        self.plays += 1;
        let outcome = play(script, self.options);
        outcome.is_ok_and(|outcome| {
            outcome
                .breach
                .is_some_and(|breach| breach.checker == self.checker)
        })
    }
}

/// The smallest script found, and how many nights were played for it. `None` if this one does not fail.
pub fn shrink(script: &Script, options: &Options) -> Option<(Script, usize)> {
    let breach = play(script, options).ok()?.breach?;
    let mut judge = Judge {
        options,
        checker: breach.checker,
        plays: 1,
    };
    let mut best = script.clone();
    // Nothing that was to come after the breach has part in it.
    let end = breach.at.as_millis() as u64;
    let mut cut = best.clone();
    cut.requests.retain(|request| request.at_ms <= end);
    cut.faults.retain(|fault| fault.at_ms <= end);
    if judge.fails(&cut) {
        best = cut;
    }
    loop {
        let before = best.clone();
        best = without(best, |script| &mut script.faults, &mut judge);
        best = without(best, |script| &mut script.requests, &mut judge);
        while best.nodes.len() > 1 {
            let mut fewer = best.clone();
            fewer.nodes.pop();
            if !judge.fails(&fewer) {
                break;
            }
            best = fewer;
        }
        for place in 0..best.backends.len() {
            let mut fewer = best.clone();
            fewer.backends[place].from_ms = NEVER;
            if best.backends[place].from_ms != NEVER && judge.fails(&fewer) {
                best = fewer;
            }
        }
        for place in 0..best.requests.len() {
            let mut plainer = best.clone();
            let request = &mut plainer.requests[place];
            (request.retries, request.body, request.manner) = (0, 0, Manner::Plain);
            if plainer != best && judge.fails(&plainer) {
                best = plainer;
            }
        }
        for plain in [
            |s: &mut Script| s.etcd = false,
            |s: &mut Script| s.fleet = None,
            |s: &mut Script| s.thrift = false,
            |s: &mut Script| s.lag_ms = 20,
        ] {
            let mut plainer = best.clone();
            plain(&mut plainer);
            if plainer != best && judge.fails(&plainer) {
                best = plainer;
            }
        }
        if best == before || judge.plays >= PLAYS {
            return Some((best, judge.plays));
        }
    }
}

/// Takes parts of a list out, large parts first (Zeller's ddmin).
fn without<T: Clone>(
    mut best: Script,
    part: impl Fn(&mut Script) -> &mut Vec<T>,
    judge: &mut Judge<'_>,
) -> Script {
    let mut size = part(&mut best).len().div_ceil(2);
    while size > 0 {
        let mut from = 0;
        while from < part(&mut best).len() {
            let mut fewer = best.clone();
            let list = part(&mut fewer);
            let to = (from + size).min(list.len());
            list.drain(from..to);
            if judge.fails(&fewer) {
                best = fewer;
            } else {
                from += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    best
}
