//! `sillward ctl`: asks a node that runs, at its operators' address, and shows what it says.

use clap::{Args, Subcommand};
use serde_json::Value;
use sillward_fleet_settings::{Difference, FleetSettings, differences};
use sillward_runtime::Stream;
use sillward_runtime::net::TcpStream;
use sillward_runtime::random;
use sillward_runtime::time::{Instant, sleep, timeout};
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

/// A node that does not answer for so long is told of as one.
const PATIENCE: Duration = Duration::from_secs(5);
/// The longest answer that is read, in bytes: 4,096 members take about a third.
const MOST: usize = 8 << 20;

/// What can be asked.
#[derive(Subcommand)]
pub enum Ask {
    /// The fleet as this node sees it: members, states with ages, ways, and what was dropped and why
    Fleet {
        /// As the node says it, in JSON
        #[arg(long)]
        json: bool,
    },
    /// The settings on which the fleet agrees
    Settings {
        #[command(subcommand)]
        what: Settings,
    },
}

/// What is asked of the settings.
#[derive(Subcommand)]
pub enum Settings {
    /// What this node acts on, by which version, and how it stands
    Show {
        /// As the node says it, in JSON
        #[arg(long)]
        json: bool,
    },
    /// Whether a file would be taken as a change
    Check {
        /// All that the version is to hold (TOML)
        file: PathBuf,
    },
    /// Proposes a change, and waits for what comes of it
    Propose {
        /// All that the version is to hold (TOML)
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Proposes what an earlier version held
    Revert {
        /// That version
        version: u64,
        #[command(flatten)]
        how: How,
    },
    /// Tells of each version as it is confirmed and as it is in force
    Watch {
        /// Ends by itself after so many seconds
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// What differs between two versions, and what of it contradicts
    Diff {
        /// Before
        from: u64,
        /// After
        to: u64,
    },
    /// The versions that are kept: who, and why
    History,
}

/// How a change is proposed.
#[derive(Args)]
pub struct How {
    /// The version on which it was made: if there is a newer one, nothing is changed
    #[arg(long)]
    base: u64,
    /// Why, in a line
    #[arg(long)]
    why: String,
    /// Who
    #[arg(long, default_value = "operator")]
    author: String,
    /// The change's own number, printed when its outcome was not heard: sent again with it, it is there once
    #[arg(long)]
    id: Option<u64>,
    /// Also where a member can't read it, which goes by the careful reading of everything then
    #[arg(long)]
    despite: bool,
}

/// Asks, and shows the answer.
///
/// # Errors
/// Nobody answers, or not with a page.
pub async fn ask(admin: SocketAddr, what: &Ask) -> Result<String, String> {
    let json = match what {
        Ask::Fleet { json } => json,
        Ask::Settings { what } => return settings(admin, what).await,
    };
    let text = page(admin, "/admin/fleet", None).await?;
    if *json {
        return Ok(text);
    }
    let page =
        serde_json::from_str(&text).map_err(|e| format!("{admin} says what is no page: {e}"))?;
    Ok(fleet(&page))
}

/// A page, or what a call with a body is answered.
async fn page(admin: SocketAddr, path: &str, body: Option<&str>) -> Result<String, String> {
    let text = timeout(PATIENCE, call(admin, path, body)).await;
    let text = text.unwrap_or_else(|_| Err("it does not answer".to_owned()));
    text.map_err(|e| format!("cannot ask {admin}: {e}"))
}

async fn call(admin: SocketAddr, path: &str, body: Option<&str>) -> Result<String, String> {
    let stream = TcpStream::connect(admin).await.map_err(|e| e.to_string())?;
    let (stream, _) = Stream::new(stream);
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.unwrap_or_default();
    let length = body.len();
    let call = format!(
        "{method} {path} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let mut rest = call.as_bytes();
    while !rest.is_empty() {
        let count = stream.write(rest).await.map_err(|e| e.to_string())?;
        rest = &rest[count..];
    }
    let (mut answer, mut piece) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match stream.read(&mut piece).await.map_err(|e| e.to_string())? {
            0 => break,
            count => answer.extend_from_slice(&piece[..count]),
        }
        if answer.len() > MOST {
            return Err("its answer is too long".to_owned());
        }
    }
    let answer = String::from_utf8(answer).map_err(|e| e.to_string())?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or("its answer is cut off")?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        Some("404") => {
            let table = if path == SETTINGS {
                "agreement"
            } else {
                "fleet"
            };
            Err(format!(
                "it has no such page: its operator file has no [{table}]"
            ))
        }
        Some("400" | "409" | "413") => Err(body.trim_end().to_owned()),
        status => Err(format!("it answers {}", status.unwrap_or_default())),
    }
}

fn text<'a>(of: &'a Value, key: &str) -> &'a str {
    of[key].as_str().unwrap_or("-")
}

fn time(of: &Value, key: &str) -> String {
    match of[key].as_f64() {
        Some(ms) if ms >= 10_000.0 => format!("{:.0} s", ms / 1e3),
        Some(ms) => format!("{ms:.0} ms"),
        None => "-".to_owned(),
    }
}

/// What is not 0, as `word count` pairs.
fn counts(of: &Value) -> String {
    let counts = of
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(_, count)| count.as_u64() != Some(0));
    let said: Vec<String> = counts
        .map(|(word, count)| format!("{} {count}", word.replace('_', " ")))
        .collect();
    if said.is_empty() {
        "nothing".to_owned()
    } else {
        said.join(", ")
    }
}

fn fleet(page: &Value) -> String {
    let none = Vec::new();
    let members = page["members"].as_array().unwrap_or(&none);
    let mut rows: Vec<[String; 10]> = vec![
        [
            "member", "state", "since", "life", "heard", "trip", "loss", "zone", "region", "build",
        ]
        .map(str::to_owned),
    ];
    rows.push([
        text(page, "name").to_owned(),
        "(this node)".to_owned(),
        time(page, "up_ms"),
        text(page, "life").to_owned(),
        String::new(),
        time(page, "trip_ms"),
        String::new(),
        text(page, "zone").to_owned(),
        text(page, "region").to_owned(),
        text(page, "build").to_owned(),
    ]);
    for member in members {
        rows.push([
            text(member, "name").to_owned(),
            text(member, "state").to_owned(),
            time(member, "age_ms"),
            text(member, "life").to_owned(),
            time(member, "heard_ms"),
            time(member, "trip_ms"),
            member["loss"]
                .as_f64()
                .map_or("-".to_owned(), |loss| format!("{:.0} %", loss * 100.0)),
            text(member, "zone").to_owned(),
            text(member, "region").to_owned(),
            text(member, "build").to_owned(),
        ]);
    }
    let width = |column: usize| {
        rows.iter()
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..10).map(width).collect();
    let mut out = format!(
        "fleet {}: {} is {}, knows {} living, print {}, health {} (0 is best)\n",
        text(page, "fleet"),
        text(page, "name"),
        text(page, "standing"),
        page["living"],
        text(page, "print"),
        page["health"]
    );
    for row in &rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        out.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        out.push('\n');
    }
    out.push_str(&format!(
        "sent {} frames, {} bytes; received {} frames, {} bytes\ndropped: {}\ncounted: {}",
        page["sent"]["frames"],
        page["sent"]["bytes"],
        page["received"]["frames"],
        page["received"]["bytes"],
        counts(&page["dropped"]),
        counts(&page["counts"])
    ));
    out
}

const SETTINGS: &str = "/admin/settings";
/// Between two looks at what became of a change, and how long it is waited for.
const LOOK: Duration = Duration::from_millis(100);
const OUTCOME: Duration = Duration::from_secs(12);

async fn look(admin: SocketAddr) -> Result<Value, String> {
    let text = page(admin, SETTINGS, None).await?;
    serde_json::from_str(&text).map_err(|e| format!("{admin} says what is no page: {e}"))
}

fn versions(page: &Value) -> &[Value] {
    page["versions"].as_array().map_or(&[], Vec::as_slice)
}

/// What a version that the page has holds; 0 holds nothing.
fn held(page: &Value, number: u64) -> Result<FleetSettings, String> {
    if number == 0 {
        return Ok(FleetSettings::default());
    }
    let version = versions(page)
        .iter()
        .find(|version| version["number"] == number);
    let version = version.ok_or_else(|| format!("version {number} is not kept here"))?;
    FleetSettings::from_json(text(version, "rules"))
        .map_err(|e| format!("version {number} can't be read: {e}"))
}

fn file(path: &Path) -> Result<FleetSettings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {name}: {e}"))?;
    sillward_operator_config::rules(&name, &text).map_err(|faults| {
        faults
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n")
    })
}

async fn settings(admin: SocketAddr, what: &Settings) -> Result<String, String> {
    match what {
        Settings::Show { json: true } => page(admin, SETTINGS, None).await,
        Settings::Show { json: false } => Ok(shown(&look(admin).await?)),
        Settings::Check { file: path } => {
            let body = change(0, 0, "", "", &file(path)?, false, true);
            page(admin, SETTINGS, Some(&body))
                .await
                .map(|text| text.trim_end().to_owned())
        }
        Settings::Propose { file: path, how } => propose(admin, &file(path)?, how).await,
        Settings::Revert { version, how } => {
            let rules = held(&look(admin).await?, *version)?;
            propose(admin, &rules, how).await
        }
        Settings::Watch { seconds } => watch(admin, *seconds).await,
        Settings::Diff { from, to } => {
            let page = look(admin).await?;
            let all = differences(&held(&page, *from)?, &held(&page, *to)?);
            let line = |d: &Difference| {
                let word = if d.conflicts {
                    "contradicts"
                } else {
                    "holds at once"
                };
                format!("{}: {} -> {} ({word})", d.key, d.from, d.to)
            };
            let lines: Vec<String> = all.iter().map(line).collect();
            Ok(if lines.is_empty() {
                "nothing".to_owned()
            } else {
                lines.join("\n")
            })
        }
        Settings::History => {
            let page = look(admin).await?;
            let line =
                |v: &Value| format!("{}  {}  {}", v["number"], text(v, "author"), text(v, "why"));
            let lines: Vec<String> = versions(&page).iter().rev().map(line).collect();
            Ok(if lines.is_empty() {
                "no version yet".to_owned()
            } else {
                lines.join("\n")
            })
        }
    }
}

fn change(
    base: u64,
    id: u64,
    author: &str,
    why: &str,
    rules: &FleetSettings,
    despite: bool,
    check: bool,
) -> String {
    serde_json::json!({ "base": base, "id": id, "author": author, "why": why, "rules": rules.to_json(),
        "despite": despite, "check": check })
    .to_string()
}

async fn propose(admin: SocketAddr, rules: &FleetSettings, how: &How) -> Result<String, String> {
    let draw = || random::entropy().map_err(|e| format!("no random numbers: {e}"));
    let id = how.id.map_or_else(draw, Ok)?;
    let body = change(
        how.base,
        id,
        &how.author,
        &how.why,
        rules,
        how.despite,
        false,
    );
    page(admin, SETTINGS, Some(&body)).await?;
    let begun = Instant::now();
    let mut confirmed = None;
    while begun.elapsed() < OUTCOME {
        let page = look(admin).await?;
        let own = format!("{id:016x}");
        let own = versions(&page)
            .iter()
            .find(|version| text(version, "id") == own);
        let has = page["has"].as_u64().unwrap_or_default();
        match own.and_then(|own| own["number"].as_u64()) {
            Some(number) if page["in_force"].as_u64() >= Some(number) => {
                let ms = begun.elapsed().as_millis();
                return Ok(format!(
                    "version {number} is confirmed, and in force after {ms} ms"
                ));
            }
            Some(number) => confirmed = Some(number),
            None if has > how.base => {
                return Err(format!(
                    "nothing was changed: the newest version is {has}, not {}",
                    how.base
                ));
            }
            None => {}
        }
        sleep(LOOK).await;
    }
    match confirmed {
        Some(number) => Ok(format!(
            "version {number} is confirmed, and not in force yet: see settings show"
        )),
        None => Err(format!(
            "no voter has confirmed it in time; it may be yet. Send it again with --id {id}"
        )),
    }
}

async fn watch(admin: SocketAddr, seconds: Option<u64>) -> Result<String, String> {
    let (begun, mut before) = (Instant::now(), None);
    while seconds.is_none_or(|seconds| begun.elapsed() < Duration::from_secs(seconds)) {
        let page = look(admin).await?;
        let now = (
            page["newest"].as_u64(),
            page["in_force"].as_u64(),
            page["right"].as_bool(),
        );
        if before != Some(now) {
            println!("{}", standing(&page));
            before = Some(now);
        }
        sleep(LOOK).await;
    }
    Ok("watched".to_owned())
}

fn standing(page: &Value) -> String {
    let right = match page["right"].as_bool() {
        Some(true) => format!("may act on it for {} ms", page["right_for_ms"]),
        _ => "may not act on it: the careful reading holds".to_owned(),
    };
    format!(
        "newest version {} (here {}), in force {}; {right}; {} voters answer",
        page["newest"], page["has"], page["in_force"], page["voters_answering"]
    )
}

fn shown(page: &Value) -> String {
    let mut out = format!("log {}: {}\n", text(page, "log"), standing(page));
    if let Some(voter) = page["voter"].as_object() {
        let voter = Value::Object(voter.clone());
        out.push_str(&format!(
            "this voter: {}; leader {}\n",
            text(&voter, "stands"),
            text(&voter, "leader")
        ));
        for held in voter["held_up_by"].as_array().into_iter().flatten() {
            let (node, version) = (text(held, "node"), &held["may_act_on"]);
            out.push_str(&format!(
                "held up by {node}, which may act on {version} for {} ms\n",
                held["for_ms"]
            ));
        }
    }
    for reading in page["readings"].as_array().into_iter().flatten() {
        let how = if reading["careful"] == true {
            ", careful"
        } else {
            ""
        };
        let (key, value) = (text(reading, "key"), text(reading, "value"));
        out.push_str(&format!(
            "{key} = {value} (version {}{how})\n",
            reading["version"]
        ));
    }
    out.trim_end().to_owned()
}
