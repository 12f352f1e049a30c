//! The code blocks of pages for people, so that each command on them can be run: read without I/O.
//!
//! A block is fenced, and its first line says what it is: a language, and for commands how they are run.
//!
//! | first line | what becomes of it |
//! | --- | --- |
//! | `sh` | run to its end, with exit code 0 |
//! | `sh until=TEXT` | run until it prints a line with TEXT, then left running while the page lasts |
//! | `sh seconds=N` | run for so long; it may end before with exit code 0 |
//! | `sh prints=TEXT` | as `sh`, and TEXT is in what it prints |
//! | `sh fails=TEXT` | run to its end, with another exit code than 0 and TEXT in what it prints |
//! | `LANGUAGE file=NAME` | a file for the page's commands |
//! | any other language | not run |
//!
//! Spaces in TEXT are written `+`.

/// How long a command may take that does not say.
pub const LONGEST_S: u64 = 240;

/// What becomes of a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Use {
    /// Run to its end; with that text in what it prints, if one is given.
    Run { prints: Option<String> },
    /// Run to its end, which is a failure; with that text in what it prints.
    Fails { prints: String },
    /// Run until it prints that text, and left running.
    Background { until: String },
    /// Run for so many seconds at most.
    Bounded { seconds: u64 },
    /// Written to a file of that name.
    File { name: String },
    /// Not run.
    Shown,
}

/// A code block of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The line that it begins on, from 1.
    pub line: usize,
    pub text: String,
    pub used: Use,
}

/// All code blocks of a page.
///
/// # Errors
/// A block that says not what it is, or in words that are not known: all such lines, each with its number.
pub fn blocks(page: &str) -> Result<Vec<Block>, Vec<String>> {
    let (mut blocks, mut faults) = (Vec::new(), Vec::new());
    let mut open: Option<(usize, &str, String)> = None;
    let mut before = "";
    for (number, line) in (1..).zip(page.lines()) {
        match (&mut open, line.strip_prefix("```")) {
            (None, Some(info)) => open = Some((number, info.trim(), String::new())),
            (Some(_), Some("")) => {
                let (line, info, text) = open.take().unwrap_or_default();
                match used(info) {
                    Ok(used) => blocks.push(Block { line, text, used }),
                    Err(fault) => faults.push(format!("{line}: {fault}")),
                }
            }
            (Some((_, _, text)), _) => {
                text.push_str(line);
                text.push('\n');
            }
            // Nothing would run what stands in a block by its indentation alone.
            (None, None) if line.starts_with("    ") && before.is_empty() => {
                faults.push(format!("{number}: a block without a fence"));
            }
            (None, None) => {}
        }
        before = if open.is_none() {
            line.trim()
        } else {
            "in a block"
        };
    }
    if let Some((line, ..)) = open {
        faults.push(format!("{line}: a block without an end"));
    }
    if faults.is_empty() {
        Ok(blocks)
    } else {
        Err(faults)
    }
}

fn used(info: &str) -> Result<Use, String> {
    let mut words = info.split_whitespace();
    let language = words.next().ok_or("a block that does not say what it is")?;
    let more: Vec<(&str, &str)> = words
        .map(|word| word.split_once('=').unwrap_or((word, "")))
        .collect();
    let text = |text: &str| text.replace('+', " ");
    match (language, &more[..]) {
        ("sh", []) => Ok(Use::Run { prints: None }),
        ("sh", [("prints", what)]) => Ok(Use::Run {
            prints: Some(text(what)),
        }),
        ("sh", [("fails", what)]) if !what.is_empty() => Ok(Use::Fails { prints: text(what) }),
        ("sh", [("until", what)]) => Ok(Use::Background { until: text(what) }),
        ("sh", [("seconds", n)]) => match n.parse() {
            Ok(seconds) if (1..=LONGEST_S).contains(&seconds) => Ok(Use::Bounded { seconds }),
            _ => Err(format!("no seconds from 1 to {LONGEST_S}: {n}")),
        },
        ("sh" | "bash" | "shell" | "console", _) => Err(format!("no way to run it: {info}")),
        (_, [("file", name)]) if !name.contains(['/', ' ']) && !name.is_empty() => Ok(Use::File {
            name: (*name).to_owned(),
        }),
        (_, []) => Ok(Use::Shown),
        _ => Err(format!("not known: {info}")),
    }
}

/// The same text with each address `127.0.0.1:PORT` given another port, the same one wherever it stands. Port 0 stays.
pub fn ported(text: &str, mut port: impl FnMut(u16) -> u16) -> String {
    const HOST: &str = "127.0.0.1:";
    let mut parts = text.split(HOST);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let digits = part.len() - part.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        out.push_str(HOST);
        match part[..digits].parse() {
            Ok(0) | Err(_) => out.push_str(&part[..digits]),
            Ok(number) => out.push_str(&port(number).to_string()),
        }
        out.push_str(&part[digits..]);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn blocks_say_what_becomes_of_them() {
        let page = "text\n```sh\na\nb\n```\n```json file=x.json\n{}\n```\n```sh until=listens+on\nc\n```\n\
                    ```sh seconds=5\nd\n```\n```rust\ne\n```\n```sh prints=two+words\nf\n```\n\
                    ```sh fails=a+word\ng\n```\n";
        let found = blocks(page).expect("a page");
        let uses: Vec<Use> = found.iter().map(|block| block.used.clone()).collect();
        let expected = [
            Use::Run { prints: None },
            Use::File {
                name: "x.json".to_owned(),
            },
            Use::Background {
                until: "listens on".to_owned(),
            },
            Use::Bounded { seconds: 5 },
            Use::Shown,
            Use::Run {
                prints: Some("two words".to_owned()),
            },
            Use::Fails {
                prints: "a word".to_owned(),
            },
        ];
        assert_eq!(uses, expected);
        assert_eq!((found[0].line, found[0].text.as_str()), (2, "a\nb\n"));
    }

    #[test]
    fn what_nothing_would_run_is_a_fault_and_all_are_told() {
        let page = "```\nx\n```\n```bash\ny\n```\n```sh seconds=0\nz\n```\n\n    indented\n\n- an item\n\n  its text\n\
                    ```json file=../x\n{}\n```\n```sh\nno end\n";
        let faults = blocks(page).expect_err("faults");
        let lines: Vec<&str> = faults
            .iter()
            .filter_map(|fault| fault.split(':').next())
            .collect();
        assert_eq!(lines, ["1", "4", "7", "11", "16", "19"], "{faults:?}");
    }

    #[test]
    fn each_port_has_one_other_wherever_it_stands() {
        let text = "curl http://127.0.0.1:9901/x --to 127.0.0.1:9090 127.0.0.1:9901 127.0.0.1:0 127.0.0.1: 1:2";
        let new = ported(text, |port| port + 1);
        let expected = "curl http://127.0.0.1:9902/x --to 127.0.0.1:9091 127.0.0.1:9902 127.0.0.1:0 127.0.0.1: 1:2";
        assert_eq!(new, expected);
    }
}
