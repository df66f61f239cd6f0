//! From a raw value to a checked one.

use std::net::SocketAddr;

/// A value as written, without the white space around it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Raw<'a>(pub(crate) &'a str);

/// What a value should have been, for people.
#[derive(Clone, Debug)]
pub(crate) struct Wanted(pub(crate) String);

impl Wanted {
    fn a(what: &str) -> Wanted {
        Wanted(what.to_owned())
    }
}

impl TryFrom<Raw<'_>> for u64 {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<u64, Wanted> {
        text.parse().map_err(|_| Wanted::a("a whole number"))
    }
}

impl TryFrom<Raw<'_>> for SocketAddr {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<SocketAddr, Wanted> {
        text.parse().map_err(|_| Wanted::a("an IP address with a port, such as 127.0.0.1:8080"))
    }
}

/// A name that may stand in keys, metrics and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Name(pub(crate) String);

/// Bytes in the longest name.
const NAME_BYTES_MAX: usize = 64;

impl TryFrom<Raw<'_>> for Name {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Name, Wanted> {
        let is_plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
        let starts_well = text.starts_with(|it: char| it.is_ascii_alphanumeric());
        if starts_well && text.len() <= NAME_BYTES_MAX && text.chars().all(is_plain) {
            return Ok(Name(text.to_owned()));
        }
        Err(Wanted::a("a name of up to 64 letters, digits, `-`, `_` and `.`"))
    }
}

/// A base address of an HTTP service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Base(pub(crate) String);

impl TryFrom<Raw<'_>> for Base {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Base, Wanted> {
        let host = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
        let is_plain = |it: &str| !it.is_empty() && !it.contains(char::is_whitespace);
        match host {
            Some(host) if is_plain(host) => Ok(Base(text.trim_end_matches('/').to_owned())),
            _ => Err(Wanted::a("an HTTP address, such as http://192.0.2.1:8400")),
        }
    }
}

/// BLAKE3 hashes in hex, parted by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hashes(pub(crate) Vec<String>);

impl TryFrom<Raw<'_>> for Hashes {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Hashes, Wanted> {
        let hash = |it: &str| {
            let hash = blake3::Hash::from_hex(it.trim().to_ascii_lowercase()).ok()?;
            Some(hash.to_hex().to_string())
        };
        let hashes: Option<Vec<String>> = text.split(',').map(hash).collect();
        hashes
            .map(Hashes)
            .ok_or_else(|| Wanted::a("a BLAKE3 hash of 64 hex digits, or several with commas"))
    }
}

/// An instance by its name and control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedInstance {
    /// The instance's name.
    pub name: String,
    /// Where its control port listens.
    pub control: SocketAddr,
}

/// Instances, each as `NAME@ADDRESS`, parted by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Seeds(pub(crate) Vec<SeedInstance>);

impl TryFrom<Raw<'_>> for Seeds {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Seeds, Wanted> {
        let seed = |it: &str| {
            let (name, address) = it.trim().split_once('@')?;
            let Name(name) = Name::try_from(Raw(name)).ok()?;
            let control = address.parse().ok()?;
            Some(SeedInstance { name, control })
        };
        let seeds: Option<Vec<SeedInstance>> = text.split(',').map(seed).collect();
        let wanted = "an instance such as hobart-1@192.0.2.1:8101, or several with commas";
        seeds.map(Seeds).ok_or_else(|| Wanted::a(wanted))
    }
}

/// Parts in a million, written as a percentage with up to four decimals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Percent {
    pub(crate) ppm: u32,
}

/// Decimals of a percentage that parts in a million can carry.
const PERCENT_DECIMALS: usize = 4;

/// Parts in a million that make a hundred percent.
const PPM_WHOLE: u32 = 1_000_000;

impl TryFrom<Raw<'_>> for Percent {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Percent, Wanted> {
        ppm(text)
            .filter(|&ppm| 0 < ppm && ppm < PPM_WHOLE)
            .map(|ppm| Percent { ppm })
            .ok_or_else(|| Wanted::a("a percentage above 0 and below 100, such as 99.9"))
    }
}

fn ppm(text: &str) -> Option<u32> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |it: &str| !it.is_empty() && it.bytes().all(|it| it.is_ascii_digit());
    if !is_number(whole) || !is_number(part) || part.len() > PERCENT_DECIMALS {
        return None;
    }
    format!("{whole}{part:0<PERCENT_DECIMALS$}").parse().ok()
}

/// A ratio from 0 to 10, written as a decimal such as 0.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ratio {
    /// Parts in a million.
    pub ppm: u32,
}

/// The greatest ratio.
const RATIO_MAX: f64 = 10.0;

impl Ratio {
    /// The ratio as a number.
    pub fn value(self) -> f64 {
        f64::from(self.ppm) / f64::from(PPM_WHOLE)
    }
}

impl TryFrom<Raw<'_>> for Ratio {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<Ratio, Wanted> {
        let ratio: Option<f64> = text.parse().ok();
        ratio
            .filter(|it| (0.0..=RATIO_MAX).contains(it))
            .map(|it| Ratio { ppm: (it * f64::from(PPM_WHOLE)).round() as u32 })
            .ok_or_else(|| Wanted::a("a ratio from 0 to 10, such as 0.2"))
    }
}
