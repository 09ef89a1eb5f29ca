use super::*;

/// Returns pseudo-random numbers with the mean 0 and the standard deviation 1.
fn normal(seed: &mut u64) -> f32 {
    let mut sum = -6.0;
    for _ in 0..12 {
        *seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        sum += (*seed >> 40) as f32 / (1_u64 << 24) as f32;
    }
    sum
}

fn service() -> ServiceName {
    "press".parse().unwrap()
}

/// Returns the mean errors, as logarithms, of the callers' estimates and of the learned ones. Run times spread by
/// `run_spread` and estimates around them by `error_spread`, with a common factor of `bias`.
fn errors(run_spread: f32, error_spread: f32, bias: f32) -> (f32, f32) {
    let (mut times, mut seed) = (RunTimes::default(), 7);
    let (mut stated_error, mut learned_error, mut count) = (0.0, 0.0, 0.0);
    for number in 0..4_000 {
        let run = 0.17_f32.ln() + run_spread * normal(&mut seed);
        let estimate = run + error_spread * normal(&mut seed) + bias.ln();
        let (run_time, stated) = (seconds(run), seconds(estimate));
        if number >= 1_000 {
            stated_error += (estimate - run).abs();
            learned_error += (log_seconds(times.expected(&service(), 1, stated)) - run).abs();
            count += 1.0;
        }
        times.record(&service(), 1, run_time, stated);
    }
    (stated_error / count, learned_error / count)
}

fn seconds(log: f32) -> Duration {
    Duration::from_secs_f32(log.exp())
}

/// Estimates that are wrong by 40% decided alone which jobs count as late.
#[test]
fn an_estimate_and_the_mean_of_its_kind_predict_better_than_either() {
    let (stated, learned) = errors(0.4, 0.4, 1.0);
    let mean_of_kind = stated;
    assert!(learned < 0.8 * stated.min(mean_of_kind), "{learned} of {stated}");
}

#[test]
fn a_bias_of_all_estimates_of_a_kind_is_removed() {
    let (stated, learned) = errors(0.4, 0.2, 2.0);
    assert!(learned < 0.4 * stated, "{learned} of {stated}");
}

#[test]
fn exact_estimates_are_kept() {
    let (_, learned) = errors(0.4, 0.001, 1.0);
    assert!(learned < 0.01, "{learned}");
}

#[test]
fn few_samples_count_for_little() {
    let mut times = RunTimes::default();
    let stated = Duration::from_millis(100);
    assert_eq!(times.expected(&service(), 0, stated), stated);
    times.record(&service(), 0, Duration::from_secs(1), stated);
    let expected = times.expected(&service(), 0, stated);
    assert!(expected < Duration::from_millis(110), "{expected:?}");
}

#[test]
fn kinds_are_bounded_and_independent() {
    let mut times = RunTimes::default();
    let stated = Duration::from_millis(100);
    for priority in 0..1_000 {
        for _ in 0..100 {
            times.record(&service(), priority, stated * 2, stated);
        }
    }
    assert_eq!(times.kinds.len(), MAX_KINDS);
    assert!(times.expected(&service(), 0, stated) > stated * 3 / 2);
    assert_eq!(times.expected(&service(), 999, stated), stated);
}
