//! Tests of individual decisions, one file per subject. `Harness` also checks the safety rules in each test.
#![allow(unreachable_pub)]

mod actions;
mod admission;
mod bodies;
#[path = "../common/mod.rs"]
mod common;
mod endpoint_list;
mod health_checks;
mod many_nodes;
mod outliers;
mod retries;
mod selection;
mod settings_changes;
mod slow_start;
