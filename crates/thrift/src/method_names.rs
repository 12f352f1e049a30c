//! Names of methods where several services share a connection.
//!
//! A client with `TMultiplexedProtocol` writes `Service:method` as the name of its calls. The server's
//! `TMultiplexedProcessor` strips the service before it passes the message to that service's own processor, which
//! replies as `method`. The client's decorator does not change what it reads, so the generated client compares the
//! reply's name with `method`. A backend without such a processor, which looks up the whole name itself, replies
//! with the name that was called.

/// Separates the service's name from the method's.
const SEPARATOR: char = ':';

/// Splits a name into its service, if it has one, and its method. All Thrift libraries split at the first colon,
/// as names of methods contain none.
pub fn split(name: &str) -> (Option<&str>, &str) {
    match name.split_once(SEPARATOR) {
        Some((service, method)) => (Some(service), method),
        None => (None, name),
    }
}

/// The name of every reply to the client, whether from a backend or from the node: the generated client knows
/// only the method's own name.
pub fn reply_name(called: &str) -> &str {
    split(called).1
}

/// Whether a message with this name can be the reply to a call of `called`: it has the name of the method alone
/// or the name that was called.
pub fn is_reply_name(name: &str, called: &str) -> bool {
    name == reply_name(called) || name == called
}

#[cfg(test)]
mod tests {
    use super::{is_reply_name, reply_name, split};

    #[test]
    fn name_is_split_at_the_first_colon() {
        assert_eq!(split("Tally:read"), (Some("Tally"), "read"));
        assert_eq!(split("read"), (None, "read"));
        assert_eq!(split("Tally:read:again"), (Some("Tally"), "read:again"));
        assert_eq!(split(":read"), (Some(""), "read"));
        assert_eq!((reply_name("Tally:"), reply_name("")), ("", ""));
    }

    #[test]
    fn reply_name_is_the_method_alone_or_the_name_that_was_called() {
        assert!(
            is_reply_name("read", "Tally:read")
                && is_reply_name("Tally:read", "Tally:read")
                && is_reply_name("read", "read")
        );
        for other in [
            "",
            "reads",
            "Other:read",
            "Tally",
            "Tally:",
            ":read",
            "Tally:Tally:read",
            "read:",
        ] {
            assert!(!is_reply_name(other, "Tally:read"), "{other}");
        }
        assert!(
            !is_reply_name("Tally:read", "read"),
            "the call named no service"
        );
    }
}
