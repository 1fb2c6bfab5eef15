//! The types of values and how they are written.

/// A type that a value can have.
pub trait Value: Sized {
    /// Reads a value.
    ///
    /// # Errors
    /// What is allowed, in words that follow "must be".
    fn read(text: &str) -> Result<Self, String>;
    /// What stands in for a value that cannot be read, so that reading goes on.
    fn stand_in() -> Self;
}

/// A span of time in milliseconds, written with its unit: `250us`, `40ms`, `1.5s`, `2m`, `1h`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Span(pub f64);

/// A part of a whole, 0 to 1, written as such or with a percent sign.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// Two values with `..` between them, the lower one first, or one for both.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Range<T> {
    /// The lower end.
    pub low: T,
    /// The upper end.
    pub high: T,
}

/// Units of a span, in milliseconds.
const UNITS: [(&str, f64); 5] = [
    ("us", 0.001),
    ("ms", 1.0),
    ("s", 1000.0),
    ("m", 60_000.0),
    ("h", 3_600_000.0),
];

impl Value for Span {
    fn read(text: &str) -> Result<Self, String> {
        let allowed = || "a span with its unit: us, ms, s, m or h (as in 1.5s)".to_owned();
        let digits = text.trim_end_matches(|sign: char| sign.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let unit = UNITS.iter().find(|(name, _)| *name == unit);
        let value: f64 = digits.trim_end().parse().map_err(|_| allowed())?;
        let (_, scale) = unit
            .filter(|_| value.is_finite() && value >= 0.0)
            .ok_or_else(allowed)?;
        Ok(Self(value * scale))
    }
    fn stand_in() -> Self {
        Self::default()
    }
}

impl Value for Share {
    fn read(text: &str) -> Result<Self, String> {
        let (digits, scale) = match text.strip_suffix('%') {
            Some(digits) => (digits.trim_end(), 0.01),
            None => (text, 1.0),
        };
        let value = digits.parse().map(|value: f64| value * scale).ok();
        let value = value.filter(|value| (0.0..=1.0).contains(value));
        value
            .map(Self)
            .ok_or_else(|| "a part from 0 to 1, or 0% to 100%".to_owned())
    }
    fn stand_in() -> Self {
        Self::default()
    }
}

impl Value for f64 {
    fn read(text: &str) -> Result<Self, String> {
        let value = text
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite() && *value >= 0.0);
        value.ok_or_else(|| "a number, 0 or more".to_owned())
    }
    fn stand_in() -> Self {
        0.0
    }
}

macro_rules! whole {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            fn read(text: &str) -> Result<Self, String> {
                let most = <$kind>::MAX;
                text.parse().map_err(|_| format!("a whole number from 0 to {most}"))
            }
            fn stand_in() -> Self {
                0
            }
        }
    )*};
}

whole!(u16, u32, u64, usize);

impl Value for bool {
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "yes" | "true" | "on" => Ok(true),
            "no" | "false" | "off" => Ok(false),
            _ => Err("yes or no".to_owned()),
        }
    }
    fn stand_in() -> Self {
        false
    }
}

impl Value for String {
    fn read(text: &str) -> Result<Self, String> {
        Ok(text.to_owned())
    }
    fn stand_in() -> Self {
        Self::new()
    }
}

impl<T: Value + PartialOrd + Clone> Value for Range<T> {
    fn read(text: &str) -> Result<Self, String> {
        let (low, high) = text.split_once("..").unwrap_or((text, text));
        let either = |text: &str| {
            T::read(text.trim()).map_err(|allowed| format!("{allowed}, or two with .. between"))
        };
        let (low, high) = (either(low)?, either(high)?);
        if low > high {
            return Err("two values, the lower one first".to_owned());
        }
        Ok(Self { low, high })
    }
    fn stand_in() -> Self {
        Self {
            low: T::stand_in(),
            high: T::stand_in(),
        }
    }
}

/// Values with commas between them.
impl<T: Value> Value for Vec<T> {
    fn read(text: &str) -> Result<Self, String> {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parts = parts
            .map(|part| T::read(part).map_err(|allowed| format!("a list, each of it {allowed}")));
        parts.collect()
    }
    fn stand_in() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_have_units() {
        for (text, ms) in [
            ("250us", 0.25),
            ("40ms", 40.0),
            ("1.5s", 1500.0),
            ("2 m", 120_000.0),
            ("0s", 0.0),
        ] {
            assert_eq!(Span::read(text), Ok(Span(ms)), "{text}");
        }
        for text in ["", "5", "s", "-1s", "1e999s", "3 days", "nan s"] {
            assert!(Span::read(text).is_err(), "{text}");
        }
    }

    #[test]
    fn shares_and_ranges_and_lists() {
        assert_eq!(Share::read("19%"), Ok(Share(0.19)));
        assert_eq!(Share::read("0.5"), Ok(Share(0.5)));
        assert!(Share::read("101%").is_err() && Share::read("x").is_err());
        assert_eq!(
            Range::read("0.85..1.1"),
            Ok(Range {
                low: 0.85,
                high: 1.1
            })
        );
        assert_eq!(Range::<Span>::read("2s").unwrap().high, Span(2000.0));
        assert!(Range::<f64>::read("2..1").is_err());
        assert_eq!(
            Vec::<String>::read("a, b,c,"),
            Ok(vec!["a".into(), "b".into(), "c".into()])
        );
        assert!(Vec::<f64>::read("1,x").is_err() && u16::read("65536").is_err());
    }
}
