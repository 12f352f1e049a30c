//! The program as the ground starts it where a fault is within the process itself: see the feature `faults`.
#![forbid(unsafe_code)]

#[path = "main.rs"]
mod program;

fn main() -> std::process::ExitCode {
    program::main()
}
