//! Each parsed form is read back as the value that was written, and malformed text is refused.

use kqr_types::{Attempt, AttemptId, ByteSize, JobKey, KeyDigest, Rate, TaskIndex};
use quickcheck::quickcheck;

quickcheck! {
    fn byte_size(bytes: u64) -> bool {
        ByteSize(bytes).to_string().parse() == Ok(ByteSize(bytes))
    }

    fn rate(events: u32) -> bool {
        let rate = Rate(f64::from(events) / 8.0);
        rate.to_string().parse() == Ok(rate)
    }

    fn key_digest(high: u64, low: u64) -> bool {
        let digest = KeyDigest(u128::from(high) << 64 | u128::from(low));
        digest.to_string().parse() == Ok(digest)
    }

    fn attempt_id(job: u64, task: u16, attempt: u32) -> bool {
        let id = AttemptId { job: KeyDigest(u128::from(job)), task: TaskIndex(task), attempt: Attempt(attempt) };
        id.to_string().parse() == Ok(id)
    }

    fn job_key(text: String) -> bool {
        match text.parse::<JobKey>() {
            Ok(key) => key.as_str() == text,
            Err(_) => text.is_empty() || text.len() > 200 || !text.bytes().all(|b| b.is_ascii_graphic()) || text.contains(['"', '\\']),
        }
    }
}

#[test]
fn malformed_sizes_and_rates_are_refused() {
    for text in ["", "64", "MiB", "-1B", "1.5KiB", "99999999999GiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text:?} was accepted");
    }
    for text in ["", "1", "/s", "-1/s", "inf/s", "NaN/s"] {
        assert!(text.parse::<Rate>().is_err(), "{text:?} was accepted");
    }
}
