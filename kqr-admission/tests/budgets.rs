//! Retry budget, quotas and token buckets.

use std::time::Duration;

use kqr_admission::{Quota, Quotas, RetryBudget, TokenBucket};
use kqr_types::{Instant, Rate};
use quickcheck::quickcheck;

#[test]
fn retries_are_at_most_a_tenth_of_first_sends_beyond_the_initial_balance() {
    let budget = RetryBudget::new();
    let mut spent = 0;
    for _ in 0..10_000 {
        budget.deposit();
        spent += u32::from(budget.try_withdraw());
    }
    assert!((1000..=1050).contains(&spent), "{spent} retries");
}

#[test]
fn quotas_of_teams_are_independent() {
    let mut quotas = Quotas::default();
    let teams: Vec<_> = (0..500).map(|n| format!("team-{n}").parse().unwrap()).collect();
    for team in &teams {
        let quota = Quota {
            rate: Rate(5.0),
            burst: Duration::from_secs(2),
        };
        quotas.set(Instant(0), team, Some(quota));
    }
    assert!(quotas.take(Instant(0), &teams[0], 10));
    assert!(!quotas.take(Instant(0), &teams[0], 1));
    assert!(teams[1..].iter().all(|team| quotas.take(Instant(0), team, 1)));
    assert_eq!(quotas.time_until(&teams[0], 5), Duration::from_secs(1));
}

quickcheck! {
    fn a_bucket_grants_no_more_than_rate_and_burst(steps: Vec<(u16, u8)>) -> bool {
        let mut bucket = TokenBucket::new(Instant(0), Rate(100.0), 50.0);
        let mut now = Instant(0);
        let mut taken = 0.0;
        for (millis, count) in steps {
            now = now + Duration::from_millis(u64::from(millis));
            let count = f64::from(count % 50);
            if bucket.take(now, count) {
                taken += count;
            }
        }
        taken <= 50.0 + 100.0 * now.since(Instant(0)).as_secs_f64() + 1e-6
    }
}
