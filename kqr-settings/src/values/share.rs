use std::{fmt, str::FromStr};

use kqr_types::ParseError;

/// A part of a whole in tenths of a percent. Its text is a number and `%`, such as `10%` or `2.5%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(pub u16);

impl Share {
    /// Tenths of a percent in the whole.
    const WHOLE: u16 = 1000;

    /// Returns the part as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (percent, tenth) = (self.0 / 10, self.0 % 10);
        if tenth == 0 {
            write!(f, "{percent}%")
        } else {
            write!(f, "{percent}.{tenth}%")
        }
    }
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("share", text, "0% to 100% in steps of 0.1%, such as 2.5%");
        let number = text.strip_suffix('%').ok_or_else(error)?;
        let (percent, tenth) = number.split_once('.').unwrap_or((number, "0"));
        if tenth.len() != 1 {
            return Err(error());
        }
        let percent: u16 = percent.parse().map_err(|_| error())?;
        let tenth: u16 = tenth.parse().map_err(|_| error())?;
        let value = percent
            .checked_mul(10)
            .and_then(|tenths| tenths.checked_add(tenth));
        value
            .filter(|value| *value <= Self::WHOLE)
            .map(Self)
            .ok_or_else(error)
    }
}
