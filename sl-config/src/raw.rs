//! Conversions from the text of a value to checked types.

use std::net::SocketAddr;

use sl_base::Millis;

/// The text of a value, without surrounding white space.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RawValue<'a>(pub(crate) &'a str);

/// Description of the values that a key accepts, with its article; completes the message
/// "`VALUE` is not ...".
#[derive(Clone, Debug)]
pub(crate) struct Expected(pub(crate) String);

impl Expected {
    fn new(description: &str) -> Expected {
        Expected(description.to_owned())
    }
}

impl TryFrom<RawValue<'_>> for u64 {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<u64, Expected> {
        text.parse().map_err(|_| Expected::new("an unsigned integer"))
    }
}

impl TryFrom<RawValue<'_>> for SocketAddr {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<SocketAddr, Expected> {
        text.parse().map_err(|_| Expected::new("an IP address with a port, such as 127.0.0.1:8080"))
    }
}

/// A name that is safe to use in store keys, metric labels and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Name(pub(crate) String);

/// Maximum length of a name in bytes.
const NAME_BYTES_MAX: usize = 64;

impl TryFrom<RawValue<'_>> for Name {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Name, Expected> {
        let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
        let has_valid_start = text.starts_with(|it: char| it.is_ascii_alphanumeric());
        if has_valid_start && text.len() <= NAME_BYTES_MAX && text.chars().all(is_allowed) {
            return Ok(Name(text.to_owned()));
        }
        Err(Expected::new("a name of up to 64 letters, digits, `-`, `_` and `.`"))
    }
}

/// Name of a region: any text, as the platform chooses it and it is only compared. May be empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RegionName(pub(crate) String);

impl TryFrom<RawValue<'_>> for RegionName {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<RegionName, Expected> {
        Ok(RegionName(text.to_owned()))
    }
}

/// Base URL of an HTTP service, without trailing slashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BaseUrl(pub(crate) String);

impl TryFrom<RawValue<'_>> for BaseUrl {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<BaseUrl, Expected> {
        let host = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
        let is_valid = |it: &str| !it.is_empty() && !it.contains(char::is_whitespace);
        match host {
            Some(host) if is_valid(host) => Ok(BaseUrl(text.trim_end_matches('/').to_owned())),
            _ => Err(Expected::new("an HTTP URL, such as http://192.0.2.1:8400")),
        }
    }
}

/// A comma-separated list of BLAKE3 hashes in hex.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hashes(pub(crate) Vec<String>);

impl TryFrom<RawValue<'_>> for Hashes {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Hashes, Expected> {
        let hash = |it: &str| {
            let hash = blake3::Hash::from_hex(it.trim().to_ascii_lowercase()).ok()?;
            Some(hash.to_hex().to_string())
        };
        let hashes: Option<Vec<String>> = text.split(',').map(hash).collect();
        hashes.map(Hashes).ok_or_else(|| {
            Expected::new("a comma-separated list of BLAKE3 hashes of 64 hex digits")
        })
    }
}

/// An instance from which a new instance can fetch state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedInstance {
    /// Name of the instance.
    pub name: String,
    /// Address of the control port.
    pub control: SocketAddr,
}

/// A comma-separated list of instances, each as `NAME@ADDRESS`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SeedInstances(pub(crate) Vec<SeedInstance>);

impl TryFrom<RawValue<'_>> for SeedInstances {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<SeedInstances, Expected> {
        let seed = |it: &str| {
            let (name, address) = it.trim().split_once('@')?;
            let Name(name) = Name::try_from(RawValue(name)).ok()?;
            let control = address.parse().ok()?;
            Some(SeedInstance { name, control })
        };
        let seeds: Option<Vec<SeedInstance>> = text.split(',').map(seed).collect();
        let expected = "a comma-separated list of instances such as hobart-1@192.0.2.1:8101";
        seeds.map(SeedInstances).ok_or_else(|| Expected::new(expected))
    }
}

/// A share in parts per million, written as a percentage with up to four decimals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Percent {
    pub(crate) ppm: u32,
}

/// Decimals of a percentage that parts per million can represent.
const PERCENT_DECIMALS: usize = 4;

/// 100 % in parts per million.
const PPM_PER_UNIT: u32 = 1_000_000;

impl TryFrom<RawValue<'_>> for Percent {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Percent, Expected> {
        parse_ppm(text)
            .filter(|&ppm| 0 < ppm && ppm < PPM_PER_UNIT)
            .map(|ppm| Percent { ppm })
            .ok_or_else(|| Expected::new("a percentage above 0 and below 100, such as 99.9"))
    }
}

fn parse_ppm(text: &str) -> Option<u32> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |it: &str| !it.is_empty() && it.bytes().all(|it| it.is_ascii_digit());
    if !is_number(whole) || !is_number(decimals) || decimals.len() > PERCENT_DECIMALS {
        return None;
    }
    format!("{whole}{decimals:0<PERCENT_DECIMALS$}").parse().ok()
}

/// A ratio from 0 to 10, written as a decimal number such as 0.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ratio {
    /// The ratio in parts per million.
    pub ppm: u32,
}

/// Largest valid ratio.
const RATIO_MAX: f64 = 10.0;

impl Ratio {
    /// Returns the ratio as a floating-point number.
    pub fn value(self) -> f64 {
        f64::from(self.ppm) / f64::from(PPM_PER_UNIT)
    }
}

impl TryFrom<RawValue<'_>> for Ratio {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Ratio, Expected> {
        let ratio: Option<f64> = text.parse().ok();
        ratio
            .filter(|it| (0.0..=RATIO_MAX).contains(it))
            .map(|it| Ratio { ppm: (it * f64::from(PPM_PER_UNIT)).round() as u32 })
            .ok_or_else(|| Expected::new("a ratio from 0 to 10, such as 0.2"))
    }
}

/// An amount of at least 0, written as a decimal number such as 33.5.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Amount(pub(crate) f64);

/// Largest valid amount.
const AMOUNT_MAX: f64 = 1_000_000.0;

impl TryFrom<RawValue<'_>> for Amount {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Amount, Expected> {
        let amount: Option<f64> = text.parse().ok();
        amount
            .filter(|it| (0.0..=AMOUNT_MAX).contains(it))
            .map(Amount)
            .ok_or_else(|| Expected::new("a number from 0 to 1000000, such as 33.5"))
    }
}

/// A duration in seconds, written as a decimal number such as 9.7 and rounded to milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seconds(pub(crate) Millis);

/// Shortest and longest valid duration in seconds: a millisecond and a day.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.001..=86_400.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl TryFrom<RawValue<'_>> for Seconds {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<Seconds, Expected> {
        let seconds: Option<f64> = text.parse().ok();
        seconds
            .filter(|it| SECONDS_RANGE.contains(it))
            .map(|it| Seconds(Millis((it * MILLIS_PER_SECOND).round() as u64)))
            .ok_or_else(|| Expected::new("a number of seconds from 0.001 to 86400, such as 9.7"))
    }
}
