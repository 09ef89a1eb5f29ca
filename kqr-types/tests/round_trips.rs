//! Text forms round-trip, malformed text is rejected, and rendezvous hashing respects weights.

use kqr_types::{
    Attempt, AttemptId, ByteSize, CellMember, CellView, Epoch, Incarnation, JobKey, KeyDigest, MemberState,
    Rate, TaskIndex,
};
use quickcheck::quickcheck;

quickcheck! {
    fn byte_size_round_trips(bytes: u64) -> bool {
        ByteSize(bytes).to_string().parse() == Ok(ByteSize(bytes))
    }

    fn rate_round_trips(events: u32) -> bool {
        let rate = Rate(f64::from(events) / 8.0);
        rate.to_string().parse() == Ok(rate)
    }

    fn key_digest_round_trips(high: u64, low: u64) -> bool {
        let digest = KeyDigest(u128::from(high) << 64 | u128::from(low));
        digest.to_string().parse() == Ok(digest)
    }

    fn attempt_id_round_trips(job: u64, task: u16, attempt: u32) -> bool {
        let id = AttemptId { job: KeyDigest(u128::from(job)), task: TaskIndex(task), attempt: Attempt(attempt) };
        id.to_string().parse() == Ok(id)
    }

    fn job_key_round_trips_or_is_rejected(text: String) -> bool {
        match text.parse::<JobKey>() {
            Ok(key) => key.as_str() == text,
            Err(_) => text.is_empty() || text.len() > 200 || !text.bytes().all(|b| b.is_ascii_graphic()) || text.contains(['"', '\\']),
        }
    }
}

#[test]
fn malformed_sizes_and_rates_are_rejected() {
    for text in ["", "64", "MiB", "-1B", "1.5KiB", "99999999999GiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text:?} was accepted");
    }
    for text in ["", "1", "/s", "-1/s", "inf/s", "NaN/s"] {
        assert!(text.parse::<Rate>().is_err(), "{text:?} was accepted");
    }
}

#[test]
fn rendezvous_assigns_keys_by_weight_and_moves_only_keys_of_a_removed_member() {
    let member = |id: &str, weight| CellMember {
        id: id.parse().unwrap(),
        incarnation: Incarnation(1),
        weight,
        state: MemberState::Full,
    };
    let all = CellView {
        epoch: Epoch(1),
        members: vec![member("a", 1), member("b", 1), member("c", 2)],
    };
    let remaining = CellView {
        epoch: Epoch(2),
        members: all.members[1..].to_vec(),
    };
    let mut homes = std::collections::BTreeMap::<String, u32>::new();
    for number in 0..4000 {
        let key = format!("key-{number}");
        let order = all.ranked_members(&key);
        *homes.entry(order[0].id.to_string()).or_default() += 1;
        let expected_home = if order[0].id.as_str() == "a" {
            order[1]
        } else {
            order[0]
        };
        assert_eq!(
            remaining.home(&key).unwrap().id,
            expected_home.id,
            "the first follower must become the home of {key}"
        );
    }
    assert!(
        (1800..2200).contains(&homes["c"]),
        "weight 2 of 4 must get about half of the keys: {homes:?}"
    );
}
