use super::*;

fn key(number: usize) -> JobKey {
    format!("job-{number}").parse().unwrap()
}

/// All callers that were refused at a peak returned in the same second.
#[test]
fn delays_follow_the_queue_and_are_spread() {
    for (wait_ms, first, last) in [(0, 1, 1), (900, 1, 2), (1_500, 2, 4), (60_000, 5, 5)] {
        let mut seen = std::collections::BTreeSet::new();
        for number in 0..200 {
            seen.insert(retry_delay(&key(number), Duration::from_millis(wait_ms)).as_secs());
        }
        let expected: Vec<u64> = (first..=last).collect();
        assert_eq!(seen.into_iter().collect::<Vec<_>>(), expected, "{wait_ms} ms");
    }
}

#[test]
fn refusals_are_remembered_for_a_time_and_up_to_a_number() {
    let mut refused = RefusedJobs::default();
    refused.record(Instant(0), &key(0));
    assert!(refused.contains(Instant(5_000_000), &key(0)));
    assert!(!refused.contains(Instant(10_000_000), &key(0)));
    for number in 1..=MAX_REFUSED {
        refused.record(Instant(0), &key(number));
        refused.record(Instant(1), &key(number));
    }
    assert!(!refused.contains(Instant(1), &key(0)));
    assert!(refused.contains(Instant(1), &key(1)));
    assert_eq!(refused.refused_at.len(), MAX_REFUSED);
    assert_eq!(refused.oldest_first.len(), MAX_REFUSED);
}
