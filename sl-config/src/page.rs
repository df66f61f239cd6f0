//! Pages: templates' texts, each under the hash of its bytes. A page never changes, so
//! that it may be fetched from anyone and checked by whoever fetched it.

use std::{fmt, str::FromStr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{IfIsHumanReadable, hex::Hex, serde_as};
use thiserror::Error;

/// Bytes in a [`PageHash`].
pub const HASH_BYTES: usize = 32;

/// Bytes that a page's text may have.
pub const TEXT_BYTES_MAX: usize = 512 * 1_024;

/// Where pages stand in the platform's key-value service.
const KEY_PREFIX: &str = "config/page/";

/// The BLAKE3 hash that names a page.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PageHash(#[serde_as(as = "IfIsHumanReadable<Hex>")] [u8; HASH_BYTES]);

impl PageHash {
    /// The hash of a text.
    pub fn of(text: &str) -> PageHash {
        PageHash(*blake3::hash(text.as_bytes()).as_bytes())
    }

    /// Where the page stands in the platform's key-value service.
    pub fn key(self) -> String {
        format!("{KEY_PREFIX}{self}")
    }
}

impl fmt::Display for PageHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for PageHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for PageHash {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<PageHash, hex::FromHexError> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(PageHash(bytes))
    }
}

/// A template's text as its operator wrote it, comments and all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    hash: PageHash,
    text: Arc<str>,
}

/// Why bytes are not the page that they were fetched as.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// They have another hash.
    #[error("the page {wanted} holds bytes of the hash {found}")]
    Digest {
        /// The hash under which they were fetched.
        wanted: PageHash,
        /// The hash that they have.
        found: PageHash,
    },
    /// They are no text.
    #[error("the page {0} is not UTF-8")]
    NotText(PageHash),
    /// They are too many.
    #[error("a template may have {TEXT_BYTES_MAX} bytes; this one has {0}")]
    TooLarge(usize),
}

impl Page {
    /// The page of `text`.
    ///
    /// # Errors
    ///
    /// [`PageError::TooLarge`] past [`TEXT_BYTES_MAX`].
    pub fn new(text: &str) -> Result<Page, PageError> {
        if text.len() > TEXT_BYTES_MAX {
            return Err(PageError::TooLarge(text.len()));
        }
        Ok(Page { hash: PageHash::of(text), text: text.into() })
    }

    /// The page that was fetched under `hash`, once its digest is checked.
    ///
    /// # Errors
    ///
    /// [`PageError`] where `bytes` are not that page.
    pub fn open(hash: PageHash, bytes: &[u8]) -> Result<Page, PageError> {
        let text = str::from_utf8(bytes).map_err(|_| PageError::NotText(hash))?;
        let page = Page::new(text)?;
        if page.hash != hash {
            return Err(PageError::Digest { wanted: hash, found: page.hash });
        }
        Ok(page)
    }

    /// The page's hash.
    pub fn hash(&self) -> PageHash {
        self.hash
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The bytes that the platform keeps.
    pub fn bytes(&self) -> Bytes {
        Bytes::copy_from_slice(self.text.as_bytes())
    }
}
