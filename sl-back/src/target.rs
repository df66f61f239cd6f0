//! Request targets. The HTTP library normalises what it sends (RFC 3986, 5.2.4), so a
//! target that it would turn into another path is refused before it can get round a route.

use std::{fmt, str::FromStr};

/// A path with its query that is sent as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target(String);

/// Why a target can't be sent as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// It does not begin with a slash.
    #[error("a request target begins with a slash")]
    NoSlash,
    /// It holds a character that ends or rewrites a path.
    #[error("a request target holds no backslash, fragment, blank or control character")]
    Character,
    /// A segment of the path is `.` or `..`, escaped or not.
    #[error("a path has no segments of dots only")]
    Dots,
}

impl Target {
    /// The path and query.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Target {
    type Err = TargetError;

    fn from_str(s: &str) -> Result<Target, TargetError> {
        if !s.starts_with('/') {
            return Err(TargetError::NoSlash);
        }
        if s.contains(|c: char| c.is_control() || matches!(c, '\\' | '#' | ' ')) {
            return Err(TargetError::Character);
        }
        let path = s.split('?').next().unwrap_or(s);
        if path.split('/').any(is_dots) {
            return Err(TargetError::Dots);
        }
        Ok(Target(s.to_owned()))
    }
}

impl TryFrom<&str> for Target {
    type Error = TargetError;

    fn try_from(s: &str) -> Result<Target, TargetError> {
        s.parse()
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn is_dots(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}
