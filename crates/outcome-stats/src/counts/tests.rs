use super::{AttemptCounts, BackendClass, BackendId, CallCounts, ClassId, Counts};
use std::collections::BTreeMap;

fn counts(calls: u32, in_time: u32) -> Counts {
    let backend_class = BackendClass {
        backend: BackendId(1),
        class: ClassId(1),
    };
    let attempts = AttemptCounts {
        sent: calls,
        in_time,
        ..AttemptCounts::default()
    };
    let calls = CallCounts {
        first: calls,
        ..CallCounts::default()
    };
    Counts {
        attempts: BTreeMap::from([(backend_class, attempts)]),
        calls: BTreeMap::from([(ClassId(1), calls)]),
    }
}

#[test]
fn median_of_three_reports_rejects_one_false_report() {
    let (one, other) = (counts(100, 97), counts(104, 100));
    for false_report in [
        counts(100_000, 0),
        Counts::default(),
        counts(0, 0),
        counts(102, 0),
    ] {
        let median = Counts::median(&[&one, &false_report, &other]);
        let first = median.calls[&ClassId(1)].first;
        let attempts = &median.attempts[&BackendClass {
            backend: BackendId(1),
            class: ClassId(1),
        }];
        assert!((100..=104).contains(&first), "{first}");
        assert!((97..=100).contains(&attempts.in_time), "{attempts:?}");
    }
}
