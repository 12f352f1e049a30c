//! Tests of single decisions, a file a subject. `Harness` checks the four safety rules in each.
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
