//! Names of methods where services are multiplexed: what goes on, what may come back, what a caller is told.
//!
//! A client of several services over one connection writes `Service:method` at the head of its calls
//! (`TMultiplexedProtocol`). The server's processor (`TMultiplexedProcessor`) takes the service off again before
//! it hands the message to that service's own processor, which knows nothing of this and answers as `method`. The
//! client's decorator leaves what it reads alone, so `method` is what the generated client compares with. A box
//! without such a processor, one that looks the whole name up itself, answers as it was called.

/// Stands between a service's name and a method's.
const SEPARATOR: char = ':';

/// A name's service, where it has one, and its method. All libraries split at the first colon: the names of
/// methods have none.
pub fn split(name: &str) -> (Option<&str>, &str) {
    match name.split_once(SEPARATOR) {
        Some((service, method)) => (Some(service), method),
        None => (None, name),
    }
}

/// The name under which a caller's answers come, whoever words them: its generated client knows only the method's.
pub fn reply_name(called: &str) -> &str {
    split(called).1
}

/// Whether a message of that name may answer a call of the other: as the method alone, or as it was called.
pub fn is_reply_name(name: &str, called: &str) -> bool {
    name == reply_name(called) || name == called
}

#[cfg(test)]
mod tests {
    use super::{is_reply_name, reply_name, split};

    #[test]
    fn the_service_ends_at_the_first_colon() {
        assert_eq!(split("Tally:read"), (Some("Tally"), "read"));
        assert_eq!(split("read"), (None, "read"));
        assert_eq!(split("Tally:read:again"), (Some("Tally"), "read:again"));
        assert_eq!(split(":read"), (Some(""), "read"));
        assert_eq!((reply_name("Tally:"), reply_name("")), ("", ""));
    }

    #[test]
    fn a_call_is_answered_as_its_method_or_as_it_was_called_and_not_otherwise() {
        assert!(
            is_reply_name("read", "Tally:read")
                && is_reply_name("Tally:read", "Tally:read")
                && is_reply_name("read", "read")
        );
        for stranger in [
            "",
            "reads",
            "Other:read",
            "Tally",
            "Tally:",
            ":read",
            "Tally:Tally:read",
            "read:",
        ] {
            assert!(!is_reply_name(stranger, "Tally:read"), "{stranger}");
        }
        assert!(
            !is_reply_name("Tally:read", "read"),
            "the call named no service"
        );
    }
}
