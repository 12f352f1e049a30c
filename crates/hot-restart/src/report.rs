//! The report line that an older process sends to a newer one.

use crate::resources::Resources;

const TAG: &str = "sillward-holds";
const VERSION: u32 = 1;
/// The maximum length of a report line.
pub const MAX_REPORT_BYTES: usize = 128;

/// Encodes the report line for these resources.
pub fn encode(resources: Resources) -> String {
    let Resources {
        client_connections,
        backend_connections,
        body_bytes,
    } = resources;
    format!("{TAG} {VERSION} {client_connections} {backend_connections} {body_bytes}\n")
}

/// Decodes a line; `None` if it is truncated, of another version, or not a report.
pub fn decode(line: &str) -> Option<Resources> {
    let mut fields = line.strip_suffix('\n')?.split(' ');
    let tag = fields.next()?;
    let version = fields.next()?;
    if tag != TAG || version != VERSION.to_string() {
        return None;
    }
    let mut number = || fields.next()?.parse().ok();
    let resources = Resources {
        client_connections: number()?,
        backend_connections: number()?,
        body_bytes: number()?,
    };
    fields.next().is_none().then_some(resources)
}
