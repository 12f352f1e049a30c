//! `sillward ctl`: asks a node that runs, at its operators' address, and shows what it says.

use clap::Subcommand;
use serde_json::Value;
use sillward_seam::Stream;
use sillward_seam::net::TcpStream;
use sillward_seam::time::timeout;
use std::net::SocketAddr;
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
}

/// Asks, and shows the answer.
///
/// # Errors
/// Nobody answers, or not with a page.
pub async fn ask(admin: SocketAddr, what: &Ask) -> Result<String, String> {
    let Ask::Fleet { json } = what;
    let text = timeout(PATIENCE, get(admin, "/admin/fleet")).await;
    let text = text.unwrap_or_else(|_| Err("it does not answer".to_owned()));
    let text = text.map_err(|e| format!("cannot ask {admin}: {e}"))?;
    if *json {
        return Ok(text);
    }
    let page = serde_json::from_str(&text).map_err(|e| format!("{admin} says what is no page: {e}"))?;
    Ok(fleet(&page))
}

async fn get(admin: SocketAddr, path: &str) -> Result<String, String> {
    let stream = TcpStream::connect(admin).await.map_err(|e| e.to_string())?;
    let (stream, _) = Stream::new(stream);
    let call = format!("GET {path} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\n\r\n");
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
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("its answer is cut off")?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        Some("404") => Err("it has no such page: its operator file has no [fleet]".to_owned()),
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
    let counts = of.as_object().into_iter().flatten().filter(|(_, count)| count.as_u64() != Some(0));
    let said: Vec<String> =
        counts.map(|(word, count)| format!("{} {count}", word.replace('_', " "))).collect();
    if said.is_empty() { "nothing".to_owned() } else { said.join(", ") }
}

fn fleet(page: &Value) -> String {
    let none = Vec::new();
    let members = page["members"].as_array().unwrap_or(&none);
    let mut rows: Vec<[String; 10]> = vec![
        ["member", "state", "since", "life", "heard", "trip", "loss", "zone", "region", "build"]
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
            member["loss"].as_f64().map_or("-".to_owned(), |loss| format!("{:.0} %", loss * 100.0)),
            text(member, "zone").to_owned(),
            text(member, "region").to_owned(),
            text(member, "build").to_owned(),
        ]);
    }
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default();
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
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
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
