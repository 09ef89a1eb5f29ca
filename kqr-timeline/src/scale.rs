/// Most marks beside the one at the begin.
const MOST_MARKS: u64 = 10;
/// Microseconds in a millisecond.
const MILLI_US: u64 = 1_000;
/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// The marks of a time axis, at round times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    span_us: u64,
    step_us: u64,
}

impl Scale {
    /// Creates the scale of a span in microseconds.
    pub fn new(span_us: u64) -> Self {
        let mut power = 1_u64;
        loop {
            for digit in [1, 2, 5] {
                let step_us = power.saturating_mul(digit);
                if span_us / step_us <= MOST_MARKS {
                    return Self { span_us, step_us };
                }
            }
            power = power.saturating_mul(10);
        }
    }

    /// Returns the time of each mark, in microseconds since the begin, and its label.
    pub fn marks(self) -> Vec<(u64, String)> {
        let mut marks = Vec::new();
        let mut at = 0;
        while at <= self.span_us {
            marks.push((at, self.label(at)));
            at += self.step_us;
        }
        marks
    }

    fn label(self, at_us: u64) -> String {
        if self.step_us >= SECOND_US {
            return format!("{} s", at_us / SECOND_US);
        }
        if self.step_us >= MILLI_US {
            return format!("{} ms", at_us / MILLI_US);
        }
        format!("{:.3} ms", at_us as f64 / MILLI_US as f64)
    }
}
