//! `.ci/tests` passes over the tests that are listed as known to fail, and over no others.

use std::fs;
use std::path::Path;
use std::process::Command;

/// Whether it passes where the tests said this and that list is there, and what it prints.
fn judged(name: &str, list: Option<&str>, said: &str, exit: i32) -> (bool, String) {
    let folder =
        std::env::temp_dir().join(format!("sillward-known-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a place for files");
    let (red, tests) = (folder.join("red"), folder.join("tests"));
    if let Some(list) = list {
        fs::write(&red, list).expect("a list");
    }
    fs::write(&tests, format!("cat <<'END'\n{said}\nEND\nexit {exit}\n")).expect("a script");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/tests");
    let mut command = Command::new("bash");
    command
        .arg(script)
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
    let line = |test: &str| format!("{test} | the cause | issue 40\n");
    let said = "test a::one ... ok\ntest two ... FAILED\ntest three ... ok";
    assert!(
        !judged("none", None, said, 101).0,
        "without a list none may fail"
    );
    assert!(judged("ok", None, "test one ... ok", 0).0);
    let (passed, printed) = judged("listed", Some(&line("two")), said, 101);
    assert!(
        passed && printed.contains("two | the cause | issue 40"),
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
        "without cause and issue"
    );
}
