use super::{AverageWork, Priorities, TokenBucket};
use crate::settings::{Settings, Tenant};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_token_bucket_holds_one_second_of_tokens() {
    let mut bucket = TokenBucket::default();
    let taken = (0..20).filter(|_| bucket.take(100 * SECOND, 5.0)).count();
    assert_eq!(taken, 5);
    assert!(bucket.take(101 * SECOND, 5.0));
}

#[test]
fn requests_over_the_quota_have_a_lower_priority() {
    let settings = Settings {
        tenants: vec![Tenant {
            quota_per_s: 2.0,
            share: 1.0,
        }],
        over_quota_weight: 0.2,
        ..Settings::default()
    };
    let mut priorities = Priorities::new(&settings);
    let mut priority = || priorities.of_request(&settings, 100 * SECOND, &settings.classes[0], 0);
    let within = [priority(), priority()];
    let over = priority();
    assert!(within.iter().all(|p| (p - 1.0).abs() < 0.01), "{within:?}");
    assert!((0.19..0.22).contains(&over), "{over}");
}

#[test]
fn work_is_relative_to_the_average_request() {
    let mut average = AverageWork::default();
    assert_eq!(average.relative(None), 1.0);
    assert_eq!(average.relative(Some(SECOND)), 1.0);
    let double = average.relative(Some(2 * SECOND));
    assert!((1.9..2.0).contains(&double), "{double}");
}
