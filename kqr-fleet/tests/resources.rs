//! Arithmetic on resources at the ends of their range.

use kqr_fleet::Resources;

const fn of(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mib,
        accelerators,
    }
}

#[test]
fn only_needed_resources_limit_how_often_needs_fit() {
    let free = of(16_000, 65_536, 0);
    assert_eq!(free.times_fitting(&of(0, 0, 0), u32::MAX), u32::MAX);
    assert_eq!(free.times_fitting(&of(0, 1, 0), u32::MAX), 65_536);
    assert_eq!(free.times_fitting(&of(6_800, 64, 0), 8), 2);
    assert_eq!(free.times_fitting(&of(6_800, 64, 0), 1), 1);
    assert_eq!(free.times_fitting(&of(0, 0, 1), 8), 0);
    assert_eq!(free.times_fitting(&of(16_001, 0, 0), 8), 0);
    assert_eq!(of(u64::MAX, 0, 0).times_fitting(&of(1, 0, 0), u32::MAX), u32::MAX);
}

#[test]
fn multiples_of_needs_saturate() {
    assert_eq!(of(6_800, 64, 0).times(2), of(13_600, 128, 0));
    assert_eq!(of(u64::MAX, 1, 0).times(2), of(u64::MAX, 2, 0));
}
