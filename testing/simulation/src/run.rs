//! A whole night, played.

use crate::dice::Dice;
use crate::faults::Stage;
use crate::ledger::{Breach, Figures, Ledger};
use crate::net::{Host, Net, Way};
use crate::parties::boxes::Tally;
use crate::parties::clients::Clients;
use crate::parties::etcd::Etcd;
use crate::parties::nodes::{Nodes, UNIX, agent_address};
use crate::parties::roster::{Roster, State};
use crate::plants::Plant;
use crate::script::{NEVER, Script};
use crate::trace::Trace;
use sillward_runtime::time::{sleep, timeout};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::{JoinSet, LocalSet, spawn_local};

/// No night lasts longer.
const LONGEST: Duration = Duration::from_secs(60);
/// How often the program's own invariants are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// A difference that is seen so often in a row is a leak: an idle connection that has broken is kept until the pool
/// next sweeps, at the latest after an eighth of 2.3 s.
const LASTS: usize = 8;
/// After the last client has gone, attempts that are out end by their times, and idle connections are given up.
const REST: Duration = Duration::from_millis(2500);
/// At rest the nodes of a fleet agree within so long.
const FLEET_AGREES: Duration = Duration::from_secs(20);
/// A node that is told to end has so long.
const LAST_ANSWERS: Duration = Duration::from_millis(3700);
/// Timers of the module's own, which stand for as long as a node runs.
const OWN_TIMERS: usize = 2;

/// How a night is played.
#[derive(Clone, Default)]
pub struct Options {
    pub plant: Option<Plant>,
    /// Rare plants strike often.
    pub often: bool,
    /// Whether the lines of the trace are kept.
    pub lines: bool,
    /// Steps so far, for who watches from another thread.
    pub beat: Option<Arc<AtomicU64>>,
}

/// What a night came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Of all steps.
    pub hash: u64,
    pub steps: u64,
    pub virtual_time: Duration,
    pub figures: Figures,
    /// Checks of rules that were made.
    pub checks: u64,
    /// The first breach; the night ends with it.
    pub breach: Option<Breach>,
    /// The trace, where it was asked for.
    pub lines: Vec<String>,
    /// The life of the call that the breach is about.
    pub life: Vec<String>,
}

/// Plays a night.
///
/// # Errors
/// The runtime could not be started.
pub fn play(script: &Script, options: &Options) -> std::io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let script = Rc::new(script.clone());
    let tasks = LocalSet::new();
    let outcome = tasks.block_on(&runtime, whole(script, options.clone()));
    // Tasks that are left hold sockets, which look at their runtime's clock as they are dropped.
    runtime.block_on(async { drop(tasks) });
    Ok(outcome)
}

async fn whole(script: Rc<Script>, options: Options) -> Outcome {
    let trace = Rc::new(Trace::new(options.lines));
    let mut net = Net::new(script.seed, trace.clone());
    net.deaf_to_rest = options.plant == Some(Plant::LateBytes);
    net.says_twice = (options.plant == Some(Plant::AnswerTwice)).then_some(60);
    spawn_local(net.clone().drive());
    let ledger = Ledger::new(net.clone());
    if let Some(beat) = options.beat.clone() {
        let trace = trace.clone();
        spawn_local(async move {
            loop {
                beat.store(trace.steps(), Ordering::Relaxed);
                sleep(LOOK).await;
            }
        });
    }
    let night = night(
        &net,
        &script,
        &ledger,
        options.plant.map(|plant| (plant, options.often)),
    );
    tokio::select! {
        biased;
        () = ledger.broken.notified() => {}
        in_time = timeout(LONGEST, night) => if in_time.is_err() {
            ledger.breach("unfinished", None, "the night does not end".to_owned());
        }
    }
    let breach = ledger.first();
    let life = breach
        .as_ref()
        .and_then(|breach| breach.call.as_deref())
        .map(|call| ledger.life(call));
    Outcome {
        hash: trace.hash(),
        steps: trace.steps(),
        virtual_time: net.now(),
        figures: ledger.figures(),
        checks: ledger.checks.get(),
        breach,
        lines: trace.lines(),
        life: life.unwrap_or_default(),
    }
}

async fn night(net: &Net, script: &Rc<Script>, ledger: &Rc<Ledger>, plant: Option<(Plant, bool)>) {
    let swallows = match plant {
        Some((Plant::MissedDrain, often)) => Some((
            Dice::of(script.seed, "plant", 0),
            if often { 500 } else { 1 },
        )),
        _ => None,
    };
    let roster = Roster::new(net, ledger, Duration::from_millis(script.lag_ms), swallows);
    let etcd_at = ([127, 2, 0, 1], 2379).into();
    let etcd = script.etcd.then(|| Etcd::start(net, ledger, etcd_at));
    let boxes: Vec<Rc<Tally>> = script
        .backends
        .iter()
        .enumerate()
        .map(|(place, plan)| {
            let address = ([127, 3, (place / 200) as u8, (place % 200) as u8 + 1], 8080).into();
            Tally::new(net, ledger, script, plan, address)
        })
        .collect();
    let backends: BTreeSet<Host> = boxes.iter().map(|tally| tally.host).collect();
    if let Some((lost, doubled, spoilt)) = script.fleet {
        net.usual_way(Way {
            lost,
            doubled,
            spoilt,
            late_ms: (0, 40),
        });
    }
    let nodes = Nodes::new(net, ledger, script, plant, script.etcd.then_some(etcd_at));
    let clients = Clients::new(net, ledger, &nodes, script);
    let stage = Rc::new(Stage {
        net: net.clone(),
        clients: clients.host,
        script: script.clone(),
        nodes: nodes.clone(),
        boxes,
        roster: roster.clone(),
        etcd,
        lag: Cell::new(0),
    });
    let mut faults = JoinSet::new();
    for (place, tally) in stage.boxes.iter().enumerate() {
        if tally.plan.from_ms >= NEVER {
            continue;
        }
        if tally.plan.from_ms > 0 {
            faults.spawn_local(stage.clone().join(place));
        } else if tally.start(false) {
            stage.list(place, State::InService, Duration::ZERO);
        }
    }
    for node in 0..nodes.count() {
        roster.agent(node, agent_address(node, 0));
        roster.agent(node, agent_address(node, 1));
        nodes.start(node);
    }
    let mut asking = JoinSet::new();
    for plan in &script.requests {
        asking.spawn_local(clients.clone().ask(plan.clone()));
    }
    for fault in &script.faults {
        faults.spawn_local(stage.clone().strike(fault.clone()));
    }
    let looks = spawn_local(look(
        net.clone(),
        ledger.clone(),
        nodes.clone(),
        backends.clone(),
        clients.host,
    ));
    while asking.join_next().await.is_some() {}
    while faults.join_next().await.is_some() {}
    clients.leave();
    sleep(REST + Duration::from_millis(script.idle_close_ms)).await;
    looks.abort();
    fleet_agrees(net, ledger, &nodes).await;
    for node in 0..nodes.count() {
        leftover(net, ledger, &nodes, node, &backends);
    }
    for node in 0..nodes.count() {
        if !nodes.stop(node, LAST_ANSWERS).await {
            ledger.breach(
                "unfinished",
                None,
                format!("n{node} does not end when it is told to"),
            );
        }
        let tasks = net.with(nodes.host(node), |machine| {
            (machine.tasks.get(), machine.open)
        });
        if tasks != (0, 0) {
            let what = format!(
                "n{node} has ended, {} tasks and {} sockets have not",
                tasks.0, tasks.1
            );
            ledger.breach("leak", None, what);
        }
    }
}

/// Looks at the program's invariants all night: the connections to backends that it counts are those that the network
/// shows. A difference that lasts is a leak.
async fn look(
    net: Net,
    ledger: Rc<Ledger>,
    nodes: Rc<Nodes>,
    backends: BTreeSet<Host>,
    clients: Host,
) {
    let mut off = vec![(0usize, 0i64); nodes.count()];
    loop {
        sleep(LOOK).await;
        for (node, off) in off.iter_mut().enumerate() {
            nodes.look(node, clients);
            let Some(insight) = nodes.insight(node) else {
                *off = (0, 0);
                continue;
            };
            let counted = insight.sockets.open() as i64;
            let shown = net.dialled(nodes.host(node), &backends) as i64;
            let under_way =
                net.dialled(nodes.host(node), &BTreeSet::from([nodes.host(node)])) as i64;
            let difference = if (shown..=shown + under_way).contains(&counted) {
                0
            } else {
                counted - shown
            };
            *off = if difference == 0 {
                (0, 0)
            } else {
                (off.0 + 1, difference)
            };
            if off.0 >= LASTS {
                let what = format!(
                    "n{node} counts {counted} connections to backends, the network {shown}"
                );
                ledger.breach("leak", None, what);
            }
        }
    }
}

/// After the last fault all nodes of a fleet know each other again.
async fn fleet_agrees(net: &Net, ledger: &Ledger, nodes: &Nodes) {
    net.usual_way(Way::default());
    let fleets = || (0..nodes.count()).filter_map(|node| nodes.insight(node)?.fleet);
    let agreed = || {
        let prints: BTreeSet<u32> = fleets()
            .map(|fleet| fleet.with_membership(|peers| peers.digest()))
            .collect();
        let known = fleets()
            .all(|fleet| fleet.with_membership(|peers| peers.active_count() + 1) == nodes.count());
        prints.len() <= 1 && known
    };
    let begun = net.now();
    while !agreed() {
        if net.now() - begun > FLEET_AGREES {
            let said = fleets().map(|fleet| {
                fleet.with_membership(|p| (p.active_count() + 1, p.status(UNIX + net.now())))
            });
            let what = format!(
                "the fleet does not agree at rest: {:?}",
                said.collect::<Vec<_>>()
            );
            return ledger.breach("fleet", None, what);
        }
        sleep(LOOK).await;
    }
}

/// What a node still holds when nobody has asked it anything for long.
fn leftover(net: &Net, ledger: &Ledger, nodes: &Nodes, node: usize, backends: &BTreeSet<Host>) {
    let Some(insight) = nodes.insight(node) else {
        return;
    };
    let gauges = &insight.gauges;
    let shown = net.dialled(nodes.host(node), backends);
    let left = [
        ("requests", gauges.requests.get(), 0),
        ("attempts", gauges.attempts.get(), 0),
        ("timers", gauges.timers.get().saturating_sub(OWN_TIMERS), 0),
        ("bytes of bodies", insight.budget.reserved(), 0),
        ("connections to backends", insight.sockets.open(), shown),
    ];
    for (what, has, should) in left {
        if has != should {
            ledger.breach(
                "leak",
                None,
                format!("n{node} at rest holds {has} {what}, not {should}"),
            );
        }
    }
    net.step(nodes.host(node), format_args!("at rest"));
}
