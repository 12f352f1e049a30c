//! Characterization tests: what the program writes to the outside, held byte for byte by the fixtures in `tests/golden/`.
//! Numbers that differ from run to run (times, ports, identifiers) stand as `#`; words and keys are exact.
//!
//! A test that sees something else leaves it under `target/tmp/golden/` and shows the first line that differs.

#[path = "golden/configuration.rs"]
mod configuration;
#[path = "golden/fleet.rs"]
mod fleet;
#[path = "golden/http.rs"]
mod http;
#[path = "golden/operators.rs"]
mod operators;
#[path = "golden/support.rs"]
mod support;
#[path = "golden/thrift.rs"]
mod thrift;
