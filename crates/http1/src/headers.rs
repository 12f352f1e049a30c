//! The names of the platform's headers.

/// The call's identifier, unique among open calls.
pub(crate) const CALL_ID: &str = "x-call-id";
/// How long the client waits for the response, in milliseconds.
pub(crate) const TIME_BUDGET_MS: &str = "x-budget-ms";
/// The key by which backends recognise a retry.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The tenant that sends the request.
pub(crate) const CALLER: &str = "x-caller";
/// The work that the client expects of the request, in microseconds.
pub(crate) const CALL_COST: &str = "x-call-cost";
/// `1` on a request that is a retry by the client.
pub(crate) const CLIENT_RETRY: &str = "x-again";
/// `1` on a response to a request that the backend rejected without running it.
pub(crate) const REJECTED: &str = "x-rejected";
/// A backend's load report.
pub(crate) const LOAD_REPORT: &str = "x-load-report";
