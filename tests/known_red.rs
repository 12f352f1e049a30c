//! `.ci/tests` and `.ci/command` pass over what is listed as known to fail, and over nothing else.

use std::fs;
use std::path::Path;
use std::process::Command;

/// Whether `.ci/tests` passes with that list where the tests print `output` and exit with `exit`, and what it prints.
fn judged(name: &str, list: Option<&str>, output: &str, exit: i32) -> (bool, String) {
    run(name, &["tests"], list, output, exit)
}

/// As [`judged`], of a command of that name.
fn judged_command(name: &str, list: Option<&str>, exit: i32) -> (bool, String) {
    run(name, &["command", name], list, "", exit)
}

fn run(name: &str, script: &[&str], list: Option<&str>, output: &str, exit: i32) -> (bool, String) {
    let folder =
        std::env::temp_dir().join(format!("sillward-known-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a place for files");
    let (red, tests) = (folder.join("red"), folder.join("tests"));
    if let Some(list) = list {
        fs::write(&red, list).expect("a list");
    }
    fs::write(&tests, format!("cat <<'END'\n{output}\nEND\nexit {exit}\n")).expect("a script");
    let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci");
    let mut command = Command::new("bash");
    command
        .arg(scripts.join(script[0]))
        .args(&script[1..])
        .arg("bash")
        .arg(&tests)
        .env("KNOWN_RED", &red);
    let output = command.output().expect("bash runs");
    fs::remove_dir_all(&folder).expect("its own files");
    (
        output.status.success(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

#[test]
fn only_listed_tests_may_fail_and_they_must() {
    let line = |test: &str| format!("{test} | cargo test, seed 3 | what was seen | issue 40\n");
    let said = "test a::one ... ok\ntest two ... FAILED\ntest three ... ok";
    assert!(
        !judged("none", None, said, 101).0,
        "without a list none may fail"
    );
    assert!(judged("ok", None, "test one ... ok", 0).0);
    let (passed, printed) = judged("listed", Some(&line("two")), said, 101);
    assert!(
        passed && printed.contains("two | cargo test, seed 3 | what was seen | issue 40"),
        "{printed}"
    );
    assert!(
        !judged("other", Some(&line("three")), said, 101).0,
        "another fails, and the listed one passes"
    );
    assert!(
        !judged("passes", Some(&line("a::one")), "test a::one ... ok", 0).0,
        "it passes: off the list with it"
    );
    let both = line("two") + &line("four");
    assert!(
        !judged("missing", Some(&both), said, 101).0,
        "there is no such test"
    );
    assert!(!judged("build", Some(&line("two")), "error: could not compile", 101).0);
    let four: String = ["a", "b", "c", "two"].map(line).concat();
    assert!(!judged("many", Some(&four), said, 101).0, "three at most");
    assert!(
        !judged("short", Some("two\n"), said, 101).0,
        "without command, what was seen and issue"
    );
    let old = "two | the cause | issue 40\n";
    assert!(
        !judged("old", Some(old), said, 101).0,
        "without the command"
    );
    let command = line("command plants") + &line("two");
    assert!(
        judged("beside", Some(&command), said, 101).0,
        "a command is no test"
    );
}

#[test]
fn only_listed_commands_may_fail_and_they_must() {
    let line = |test: &str| format!("{test} | plants, seed 1 | what was seen | issue 40\n");
    assert!(judged_command("plants", None, 0).0);
    assert!(!judged_command("plants", None, 3).0);
    let list = line("command plants");
    let (passed, printed) = judged_command("plants", Some(&list), 3);
    assert!(passed && printed.contains(list.trim()), "{printed}");
    assert!(
        !judged_command("plants", Some(&list), 0).0,
        "it passes: off the list with it"
    );
    assert!(!judged_command("pages", Some(&list), 3).0, "another fails");
    assert!(judged_command("pages", Some(&list), 0).0);
    assert!(
        !judged_command("plants", Some("command plants\n"), 3).0,
        "of no form"
    );
}
