//! The scenario `members`: what each says of the others, held against what was done to them.

use crate::fleet::{Asked, Fleet, Options};
use crate::history::Line;
use crate::script::{self, Fault, Places, What};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Times of the fleet's operator files: the ended are forgotten so soon that a run shows it.
const FORGET_MS: u64 = 6_000;
const MORE: &str = "forget_ms = 6000";
/// Promises, in milliseconds. A death is known to every settled node that nothing keeps from hearing of it.
const KNOWN_MS: u64 = 6_000;
/// A birth is known so soon to every node that ran on untroubled, if the born one's ways are sound.
const BORN_MS: u64 = 4_000;
/// A living member that can be reached, be it by way of others, is called gone for no longer.
const WRONGED_MS: u64 = 3_000;
/// After the last fault all agree again.
const AGREED_MS: u64 = 30_000;
/// What has ended is forgotten within so long of its time.
const FORGOTTEN_MS: u64 = 5_000;
/// Bytes a second that a node sends at most, over any five seconds, headers not counted.
const BYTES: f64 = 8_000.0;
/// What a process may grow by in memory.
const MEMORY_KB: u64 = 24 * 1024;
/// After a fault that may excuse what is said, so long.
const AFTERMATH_MS: u64 = 9_000;
/// A pause that must end a life: longer than the shortest suspicion by far.
const LONG_PAUSE_MS: u64 = 1_800;

/// How the scenario is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The fleet.
    pub options: Options,
    /// The faults; drawn from the seed if there are none.
    pub faults: Option<Vec<Fault>>,
    /// Kinds that are drawn from.
    pub kinds: Vec<String>,
    /// Between two of them.
    pub every_ms: u64,
    /// How long the faults last.
    pub seconds: u64,
}

/// What it came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// What is broken, each in a line.
    pub breaches: Vec<String>,
    /// Figures by name.
    pub figures: Vec<(&'static str, String)>,
    /// The script that was played.
    pub script: String,
}

/// Plays it.
///
/// # Errors
/// The ground could not be laid, or a process did not start: no verdict.
pub fn play(play: &Play) -> Result<Verdict, String> {
    let mut options = play.options.clone();
    options.more = MORE.to_owned();
    let places = options.places;
    let drawn = || {
        script::drawn(
            options.seed,
            places,
            (play.seconds, play.every_ms),
            &play.kinds,
        )
    };
    let faults = play.faults.clone().unwrap_or_else(drawn);
    let fleet = Fleet::new(options)?;
    let played = run(&fleet, &faults);
    let used = fleet.end();
    let (memory, joined, agreed, rates) = played?;
    let truth = Truth::read(
        &fleet.history.lines(),
        places,
        &faults,
        &fleet.options.jumps,
    );
    let mut verdict = Verdict {
        script: script::text(&faults),
        ..Verdict::default()
    };
    if let Some(what) = joined.as_ref().err() {
        verdict.breaches.push(format!(
            "after {} ms of calm they do not agree: {what}",
            AGREED_MS
        ));
    }
    if let Some(what) = agreed.as_ref().err() {
        verdict.breaches.push(format!(
            "{AGREED_MS} ms after the last fault they do not agree: {what}"
        ));
    }
    let known = truth.deaths(&mut verdict.breaches);
    let births = truth.births(&mut verdict.breaches);
    let alarms = truth.wronged(&mut verdict.breaches);
    truth.lives(&fleet, &mut verdict.breaches);
    truth.pauses(&fleet, &mut verdict.breaches);
    truth.forgotten(&mut verdict.breaches);
    let loud = truth.alarms();
    let ran = |node: usize, asked: &Asked| {
        let to = asked.t_us + asked.took_us;
        truth.up[node]
            .iter()
            .any(|(a, b)| *a + 1_500_000 <= asked.t_us && *b >= to)
    };
    let served = fleet.served(ran, &mut verdict.breaches);
    let most = rates.iter().copied().fold(0.0, f64::max);
    if most > BYTES {
        verdict.breaches.push(format!(
            "a node sent {most:.0} bytes a second for five seconds"
        ));
    }
    let grown = used
        .iter()
        .zip(&memory)
        .map(|((after, _), before)| after.saturating_sub(*before))
        .max();
    if grown.unwrap_or_default() > MEMORY_KB {
        verdict.breaches.push(format!(
            "a process has grown by {} kB",
            grown.unwrap_or_default()
        ));
    }
    let ms = |time: &Result<u64, String>| time.as_ref().map_or("never".to_owned(), u64::to_string);
    let at =
        |times: &[u64], place: usize| times.get(place).map_or("none".to_owned(), u64::to_string);
    let time_s = fleet.history.now_us() as f64 / 1e6;
    let cpu: f64 = used.iter().map(|(_, cpu)| cpu).sum::<f64>() / time_s / used.len() as f64;
    let sent: Vec<_> = (0..places.nodes)
        .map(|node| fleet.relays.sent(node))
        .collect();
    let bytes: u64 = sent.iter().map(|count| count.bytes + count.long).sum();
    let frames: u64 = sent.iter().map(|count| count.frames).sum();
    let each = time_s * places.nodes as f64;
    verdict.figures = vec![
        ("nodes", places.nodes.to_string()),
        ("faults", faults.len().to_string()),
        ("joined_ms", ms(&joined)),
        ("agreed_after_faults_ms", ms(&agreed)),
        ("deaths_seen", known.len().to_string()),
        ("death_known_median_ms", at(&known, known.len() / 2)),
        (
            "death_known_worst_ms",
            at(&known, known.len().saturating_sub(1)),
        ),
        ("births_seen", births.len().to_string()),
        ("birth_known_median_ms", at(&births, births.len() / 2)),
        (
            "birth_known_worst_ms",
            at(&births, births.len().saturating_sub(1)),
        ),
        ("false_alarms", alarms.0.to_string()),
        ("longest_false_alarm_ms", alarms.1.to_string()),
        ("alarms_with_troubles", loud.0.to_string()),
        ("longest_alarm_with_troubles_ms", loud.1.to_string()),
        (
            "frames_a_node_and_s",
            format!("{:.1}", frames as f64 / each),
        ),
        ("bytes_a_node_and_s", format!("{:.0}", bytes as f64 / each)),
        ("most_bytes_a_s_over_5_s", format!("{most:.0}")),
        ("calls", served.0.to_string()),
        ("calls_served", format!("{:.4}", served.1)),
        ("cpu_share_a_node", format!("{cpu:.4}")),
        (
            "memory_kb_worst",
            used.iter()
                .map(|(kb, _)| kb)
                .max()
                .unwrap_or(&0)
                .to_string(),
        ),
        (
            "memory_grown_kb_worst",
            grown.unwrap_or_default().to_string(),
        ),
    ];
    Ok(verdict)
}

type Played = (Vec<u64>, Result<u64, String>, Result<u64, String>, Vec<f64>);

fn run(fleet: &std::sync::Arc<Fleet>, faults: &[Fault]) -> Result<Played, String> {
    fleet.start()?;
    let joined = until_agreed(fleet);
    sleep(Duration::from_secs(1));
    let memory = fleet.places.iter().map(|place| {
        place
            .process
            .lock()
            .expect("a process")
            .as_ref()
            .map_or(0, crate::process::Process::memory_kb)
    });
    let memory = memory.collect();
    fleet.history.note(None, "script-begins", Value::Null);
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let rates = {
        let (fleet, over) = (fleet.clone(), over.clone());
        std::thread::spawn(move || rates(&fleet, &over))
    };
    let played = fleet.play(faults);
    let agreed = until_agreed(fleet);
    // What has ended while faults were on is to be forgotten by the end.
    sleep(Duration::from_millis(1_500));
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    let rates = rates.join().map_err(|_| "counting panicked".to_owned())?;
    played?;
    Ok((memory, joined, agreed, rates))
}

/// Each node's most bytes a second over any five seconds, as the relays saw them.
fn rates(fleet: &Fleet, over: &std::sync::atomic::AtomicBool) -> Vec<f64> {
    let nodes = fleet.places.len();
    let mut seen: Vec<Vec<u64>> = vec![Vec::new(); nodes];
    while !over.load(std::sync::atomic::Ordering::SeqCst) {
        for (node, seen) in seen.iter_mut().enumerate() {
            let sent = fleet.relays.sent(node);
            let fields = json!({ "frames": sent.frames, "bytes": sent.bytes, "long": sent.long });
            fleet.history.note(Some(node), "sent-so-far", fields);
            seen.push(sent.bytes + sent.long);
        }
        sleep(Duration::from_secs(1));
    }
    let most = |seen: &Vec<u64>| {
        seen.windows(6)
            .map(|w| (w[5] - w[0]) as f64 / 5.0)
            .fold(0.0, f64::max)
    };
    seen.iter().map(most).collect()
}

/// Waits until all that run say the same of each other, and nobody else lives.
fn until_agreed(fleet: &Fleet) -> Result<u64, String> {
    let begun = Instant::now();
    loop {
        let what = match disagreement(&fleet.history.lines(), &running(fleet)) {
            None => return Ok(begun.elapsed().as_millis() as u64),
            Some(what) => what,
        };
        if begun.elapsed() > Duration::from_millis(AGREED_MS) {
            return Err(what);
        }
        sleep(Duration::from_millis(200));
    }
}

fn running(fleet: &Fleet) -> BTreeSet<usize> {
    let runs = |(node, place): (usize, &crate::fleet::Place)| {
        place
            .process
            .lock()
            .expect("a process")
            .is_some()
            .then_some(node)
    };
    fleet.places.iter().enumerate().filter_map(runs).collect()
}

fn name(node: usize) -> String {
    format!("n{node}")
}

/// What the newest words of the nodes contradict of the truth, if anything.
fn disagreement(lines: &[Line], running: &BTreeSet<usize>) -> Option<String> {
    let mut said: BTreeMap<usize, &Value> = BTreeMap::new();
    let mut started: BTreeMap<usize, u64> = BTreeMap::new();
    for line in lines {
        match (line.node, line.what) {
            (Some(node), "says") => drop(said.insert(node, &line.fields)),
            (Some(node), "started") => {
                started.insert(node, line.t_us);
                said.remove(&node);
            }
            _ => {}
        }
    }
    for by in running {
        let Some(says) = said.get(by) else {
            return Some(format!("n{by} says nothing yet"));
        };
        if says["standing"] != "settled" && running.len() > 1 {
            return Some(format!("n{by} is {}", says["standing"]));
        }
        for of in running.iter().filter(|of| *of != by) {
            let of_itself = said.get(of).map(|says| &says["life"]);
            let member = &says["members"][name(*of)];
            if member[0] != "alive" || Some(&member[1]) != of_itself {
                return Some(format!(
                    "n{by} says {member} of n{of}, which lives as {of_itself:?}"
                ));
            }
        }
        for (of, member) in says["members"].as_object().into_iter().flatten() {
            let known = of
                .strip_prefix('n')
                .and_then(|number| number.parse::<usize>().ok());
            let lives = known.is_some_and(|number| running.contains(&number));
            if !lives && matches!(member[0].as_str(), Some("alive" | "suspected")) {
                return Some(format!("n{by} says {member} of {of}, which does not run"));
            }
        }
    }
    None
}

/// What was done, read from the history.
struct Truth {
    lines: Vec<Line>,
    places: Places,
    /// By node: when it was up and running, in microseconds.
    up: Vec<Vec<(u64, u64)>>,
    /// By node: times in which it, or many of its ways, had a fault that may keep it from being heard.
    troubled: Vec<Vec<(u64, u64)>>,
    begins_us: u64,
    end_us: u64,
}

impl Truth {
    fn read(lines: &[Line], places: Places, faults: &[Fault], jumps: &[(usize, u64, u64)]) -> Self {
        let end_us = lines.last().map_or(0, |line| line.t_us);
        let begins_us = lines
            .iter()
            .find(|line| line.what == "script-begins")
            .map_or(0, |line| line.t_us);
        let mut up: Vec<Vec<(u64, u64)>> = vec![Vec::new(); places.nodes];
        let mut troubled = up.clone();
        for (node, up) in up.iter_mut().enumerate() {
            let mut since: Option<u64> = None;
            for line in lines.iter().filter(|line| line.node == Some(node)) {
                match line.what {
                    "started" | "goes-on" => since = since.or(Some(line.t_us)),
                    "killed" | "told-to-end" | "paused" => {
                        if let Some(from) = since.take() {
                            up.push((from, line.t_us));
                        }
                    }
                    _ => {}
                }
            }
            if let Some(from) = since {
                up.push((from, end_us));
            }
        }
        for fault in faults {
            let from = begins_us + fault.at_ms * 1000;
            let to = from + (script::lasts_ms(&fault.what) + AFTERMATH_MS) * 1000;
            let nodes: BTreeSet<usize> = match &fault.what {
                // One pair's way, cut one way or both, excuses nothing: the others are between.
                What::Cut { from, to, .. }
                    if places.some(from).len() == 1
                        && places.some(to).len() == 1
                        && places.nodes > 3 =>
                {
                    BTreeSet::new()
                }
                What::Cut { from, to, .. } | What::Ways { from, to, .. } => {
                    places.some(from).union(&places.some(to)).copied().collect()
                }
                What::Flood { node, .. } => BTreeSet::from([*node]),
                What::Kill { .. } | What::End { .. } | What::Pause { .. } => BTreeSet::new(), // seen in `up`
            };
            nodes
                .into_iter()
                .for_each(|node| troubled[node].push((from.saturating_sub(500_000), to)));
        }
        // A clock that jumps ahead is to its node as a pause, in each run of it.
        for (node, _, at_ms) in jumps {
            for line in lines
                .iter()
                .filter(|line| line.node == Some(*node) && line.what == "started")
            {
                let at = line.t_us + at_ms * 1000;
                troubled[*node].push((at.saturating_sub(1_000_000), at + AFTERMATH_MS * 1000));
            }
        }
        Truth {
            lines: lines.to_vec(),
            places,
            up,
            troubled,
            begins_us,
            end_us,
        }
    }

    /// Whether a node ran through a time, from so long before it on, untroubled.
    fn sound(&self, node: usize, from: u64, to: u64) -> bool {
        let up = self.up[node].iter().any(|(a, b)| *a <= from && *b >= to);
        up && !self.troubled[node]
            .iter()
            .any(|(a, b)| *a < to && *b > from)
    }

    fn says(&self, node: usize) -> impl Iterator<Item = &Line> {
        self.lines
            .iter()
            .filter(move |line| line.node == Some(node) && line.what == "says")
    }

    /// What a node said last before that time.
    fn said_at(&self, node: usize, at: u64) -> Option<&Line> {
        self.says(node).take_while(|line| line.t_us <= at).last()
    }

    /// The life that a node was in, as the relays saw it last before that time.
    fn life_at(&self, node: usize, at: u64) -> Option<&Value> {
        let lives = self
            .lines
            .iter()
            .filter(|line| line.node == Some(node) && line.what == "life");
        lives
            .take_while(|line| line.t_us <= at)
            .last()
            .map(|line| &line.fields["life"])
    }

    /// Kills: how long until each sound node knew, in milliseconds.
    fn deaths(&self, breaches: &mut Vec<String>) -> Vec<u64> {
        let mut all = Vec::new();
        for kill in self.lines.iter().filter(|line| line.what == "killed") {
            let Some(node) = kill.node else { continue };
            let (from, until) = (kill.t_us, kill.t_us + KNOWN_MS * 1000);
            let back = self
                .lines
                .iter()
                .find(|l| l.node == Some(node) && l.what == "started" && l.t_us > from);
            if back.is_some_and(|line| line.t_us < until) || until > self.end_us {
                continue; // it was not dead for long enough
            }
            let Some(life) = self.life_at(node, from) else {
                continue;
            };
            for by in (0..self.places.nodes)
                .filter(|by| *by != node && self.sound(*by, from.saturating_sub(1_000_000), until))
            {
                // One that has nobody left to hear can't know: it says that it is alone, and calls nobody gone.
                let heard = (0..self.places.nodes)
                    .any(|o| o != by && o != node && self.sound(o, from, until));
                if !heard {
                    let said = self.said_at(by, until).map(|line| &line.fields);
                    let alone = said.is_some_and(|said| said["standing"] == "alone");
                    let gone = said.is_some_and(|said| said["members"][name(node)][0] == "gone");
                    if !alone || gone {
                        breaches.push(format!("n{by} heard nobody and says {said:?}"));
                    }
                    continue;
                }
                let knows = |line: &&Line| {
                    let member = &line.fields["members"][name(node)];
                    member.is_null()
                        || (member[1] == *life
                            && matches!(member[0].as_str(), Some("gone" | "left")))
                };
                let known = self.says(by).filter(|line| line.t_us > from).find(knows);
                match known.filter(|line| line.t_us <= until) {
                    Some(line) => all.push((line.t_us - from) / 1000),
                    None => breaches.push(format!(
                        "n{by} did not know after {KNOWN_MS} ms that n{node} was killed at {} ms",
                        from / 1000
                    )),
                }
            }
        }
        all.sort_unstable();
        all
    }

    /// Starts after the first: how long until each sound node holds the new life alive, in milliseconds,
    /// sorted. Counted from the start of the process, so that it includes what the node takes to come up.
    fn births(&self, breaches: &mut Vec<String>) -> Vec<u64> {
        let mut all = Vec::new();
        for start in self
            .lines
            .iter()
            .filter(|l| l.what == "started" && l.t_us > self.begins_us)
        {
            let Some(node) = start.node else { continue };
            let (from, until) = (start.t_us, start.t_us + BORN_MS * 1000);
            if !self.sound(node, from, until) {
                continue; // it ended or was troubled before the time was over
            }
            // One whose folder told it nothing may begin a second life as it hears of an earlier one.
            let lives = self
                .lines
                .iter()
                .filter(|l| l.node == Some(node) && l.what == "life");
            let run = &start.fields["run"];
            let new: Vec<_> = lives
                .filter(|l| l.fields["run"] == *run)
                .map(|l| &l.fields["life"])
                .collect();
            if new.is_empty() {
                breaches.push(format!(
                    "n{node}, started at {} ms, was heard by nobody",
                    from / 1000
                ));
                continue;
            }
            let steady =
                |by: &usize| *by != node && self.sound(*by, from.saturating_sub(1_000_000), until);
            for by in (0..self.places.nodes).filter(steady) {
                let holds = |line: &&Line| {
                    let member = &line.fields["members"][name(node)];
                    member[0] == "alive" && new.contains(&&member[1])
                };
                let known = self.says(by).filter(|line| line.t_us > from).find(holds);
                match known.filter(|line| line.t_us <= until) {
                    Some(line) => all.push((line.t_us - from) / 1000),
                    None => breaches.push(format!(
                        "n{by} did not know after {BORN_MS} ms that n{node} was born at {} ms",
                        from / 1000
                    )),
                }
            }
        }
        all.sort_unstable();
        all
    }

    /// Sound nodes that another called gone in the life that they were in: how many times, and the longest.
    fn wronged(&self, breaches: &mut Vec<String>) -> (usize, u64) {
        let (mut count, mut longest) = (0, 0);
        for by in 0..self.places.nodes {
            let said: Vec<&Line> = self.says(by).collect();
            for (place, line) in said.iter().enumerate() {
                let members = line.fields["members"].as_object();
                for (of, member) in members
                    .into_iter()
                    .flatten()
                    .filter(|(_, member)| member[0] == "gone")
                {
                    let Some(of) = of.strip_prefix('n').and_then(|n| n.parse::<usize>().ok())
                    else {
                        continue;
                    };
                    // Said before by the same node: counted there.
                    let again = place > 0 && said[place - 1].fields["members"][name(of)] == *member;
                    let at = line.t_us;
                    let sound =
                        |node: usize| self.sound(node, at.saturating_sub(AFTERMATH_MS * 1000), at);
                    if again || of >= self.places.nodes || !sound(of) || !sound(by) {
                        continue;
                    }
                    if self.life_at(of, at) != Some(&member[1]) {
                        continue; // an earlier life is gone indeed
                    }
                    count += 1;
                    let until = said[place..]
                        .iter()
                        .find(|l| l.fields["members"][name(of)] != *member);
                    let lasted = until.map_or(self.end_us, |line| line.t_us) - at;
                    longest = longest.max(lasted / 1000);
                    if lasted / 1000 > WRONGED_MS {
                        breaches.push(format!(
                            "n{by} called n{of}, which ran and was reached, gone for {} ms from {} ms on",
                            lasted / 1000,
                            at / 1000
                        ));
                    }
                }
            }
        }
        if count > 0 {
            breaches.push(format!(
                "{count} times a node that ran and was reached was called gone"
            ));
        }
        self.needless(breaches);
        (count, longest)
    }

    /// As [`Truth::wronged`], whatever troubles there were on the ways: a figure, not a rule.
    fn alarms(&self) -> (usize, u64) {
        let (mut count, mut longest) = (0, 0);
        for by in 0..self.places.nodes {
            let said: Vec<&Line> = self.says(by).collect();
            for (place, line) in said.iter().enumerate() {
                for (of, member) in line.fields["members"].as_object().into_iter().flatten() {
                    let number = of.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
                    let Some(number) = number.filter(|number| *number < self.places.nodes) else {
                        continue;
                    };
                    let again = place > 0 && said[place - 1].fields["members"][of] == *member;
                    let ran = |at: u64| {
                        self.up[number]
                            .iter()
                            .any(|(a, b)| *a + 5_000_000 <= at && *b >= at)
                    };
                    if member[0] != "gone"
                        || again
                        || !ran(line.t_us)
                        || self.life_at(number, line.t_us) != Some(&member[1])
                    {
                        continue;
                    }
                    count += 1;
                    let until = said[place..]
                        .iter()
                        .find(|l| l.fields["members"][of] != *member);
                    longest =
                        longest.max((until.map_or(self.end_us, |l| l.t_us) - line.t_us) / 1000);
                }
            }
        }
        (count, longest)
    }

    /// Lives that began though nobody had a reason to call the one before gone, as the relays saw them.
    fn needless(&self, breaches: &mut Vec<String>) {
        for line in self
            .lines
            .iter()
            .filter(|line| line.what == "life" && line.t_us > self.begins_us)
        {
            let Some(node) = line.node else { continue };
            let at = line.t_us;
            if self.sound(node, at.saturating_sub(AFTERMATH_MS * 1000), at) {
                let life = &line.fields["life"];
                breaches.push(format!(
                    "n{node} had to begin life {life} at {} ms without a reason",
                    at / 1000
                ));
            }
        }
    }

    /// No life is ever that of two runs of a process.
    fn lives(&self, fleet: &Fleet, breaches: &mut Vec<String>) {
        let mut first: BTreeMap<(usize, String), u64> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.what == "says") {
            let Some(node) = line.node else { continue };
            let life = line.fields["life"].as_str().unwrap_or_default().to_owned();
            let started = |at: u64| {
                let starts = self
                    .lines
                    .iter()
                    .filter(|l| l.node == Some(node) && l.what == "started");
                starts
                    .take_while(|l| l.t_us <= at)
                    .last()
                    .and_then(|l| l.fields["run"].as_u64())
            };
            let Some(run) = started(line.t_us) else {
                continue;
            };
            let before = *first.entry((node, life.clone())).or_insert(run);
            if before != run {
                breaches.push(format!(
                    "n{node} was in life {life} in its run {before} and in its run {run}"
                ));
                first.insert((node, life), run);
            }
        }
        let seen = fleet.relays.lives();
        if seen.is_empty() {
            breaches.push("no frame was seen on any way: that is no test".to_owned());
        }
        for ((who, life), seen) in seen {
            let node = who
                .strip_prefix('n')
                .and_then(|number| number.parse::<usize>().ok());
            let starts = self
                .lines
                .iter()
                .filter(|line| line.node == node && line.what == "started");
            let next = starts
                .filter(|line| line.fields["run"].as_u64() > Some(seen.run))
                .map(|line| line.t_us)
                .next();
            // A frame that was on its way when its process ended is still that run's.
            if next.is_some_and(|next| seen.last_us > next + 500_000) {
                breaches.push(format!(
                    "{who} sent frames of life {life} of its run {} in a later one",
                    seen.run
                ));
            }
        }
    }

    /// One that was paused for long goes on in a new life, and is not held to be alive in the one before.
    fn pauses(&self, fleet: &Fleet, breaches: &mut Vec<String>) {
        let seen = fleet.relays.lives();
        for pause in self.lines.iter().filter(|line| line.what == "paused") {
            let Some(node) = pause.node else { continue };
            let on = self
                .lines
                .iter()
                .find(|l| l.node == Some(node) && l.what == "goes-on" && l.t_us > pause.t_us);
            let Some(on) = on.filter(|on| on.t_us - pause.t_us > LONG_PAUSE_MS * 1000) else {
                continue;
            };
            let Some(life) = self.life_at(node, pause.t_us).and_then(Value::as_str) else {
                continue;
            };
            let last = seen
                .iter()
                .find(|((who, l), _)| *who == name(node) && l.to_string() == life);
            if last.is_some_and(|(_, seen)| seen.last_us > on.t_us + 300_000) {
                breaches.push(format!(
                    "n{node} went on in life {life} after its pause at {} ms",
                    pause.t_us / 1000
                ));
            }
            // Who called the old life gone does not call it alive again.
            for by in (0..self.places.nodes).filter(|by| *by != node) {
                let mut gone = false;
                for line in self.says(by).filter(|line| line.t_us > pause.t_us) {
                    if self.lines.iter().any(|l| {
                        l.node == Some(by)
                            && l.what == "started"
                            && l.t_us > pause.t_us
                            && l.t_us <= line.t_us
                    }) {
                        break; // another run of it knows nothing of before
                    }
                    let member = &line.fields["members"][name(node)];
                    if member[1] == life && member[0] == "gone" {
                        gone = true;
                    } else if gone && member[1] == life && member[0] == "alive" {
                        breaches.push(format!(
                            "n{by} called life {life} of n{node} gone, and then alive"
                        ));
                        break;
                    }
                }
            }
        }
    }

    /// What has ended is forgotten.
    fn forgotten(&self, breaches: &mut Vec<String>) {
        for down in self
            .lines
            .iter()
            .filter(|line| matches!(line.what, "killed" | "ended"))
        {
            let Some(node) = down.node else { continue };
            let due = down.t_us + (KNOWN_MS + FORGET_MS + FORGOTTEN_MS) * 1000;
            let back = self
                .lines
                .iter()
                .find(|l| l.node == Some(node) && l.what == "started" && l.t_us > down.t_us);
            if due > self.end_us || back.is_some_and(|line| line.t_us < due) {
                continue;
            }
            // Troubles on its ways are no reason to keep what has ended.
            let ran = |by: &usize| {
                self.up[*by]
                    .iter()
                    .any(|(a, b)| *a <= down.t_us && *b >= due)
            };
            for by in (0..self.places.nodes).filter(|by| *by != node && ran(by)) {
                let said = self.said_at(by, due);
                if said.is_some_and(|line| !line.fields["members"][name(node)].is_null()) {
                    breaches.push(format!(
                        "n{by} has not forgotten n{node}, which ended at {} ms",
                        down.t_us / 1000
                    ));
                }
            }
        }
    }
}
