//! Drafts: edits that nobody has accepted yet. A draft stands in the platform's service,
//! so that an operator may write it on one machine and accept it on another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sl_base::{Revision, Timestamp};

use crate::{
    accept::{Base, Edit},
    page::{Page, PageError, PageHash},
};

/// Where drafts stand in the platform's key-value service.
const KEY_PREFIX: &str = "config/draft/";

/// An edit of one template and what it was based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// The template's name.
    pub name: String,
    /// The revision that the operator saw.
    pub base: Revision,
    /// The page that the template had then; none where there was no such template.
    pub base_page: Option<PageHash>,
    /// The new text, or none to remove the template.
    pub text: Option<String>,
    /// Who wrote it.
    pub written_by: String,
    /// When, by the operator's wall clock.
    pub at: Timestamp,
}

impl Draft {
    /// Where the draft of the template `name` stands.
    pub fn key(name: &str) -> String {
        format!("{KEY_PREFIX}{name}")
    }

    /// Reads a draft from the platform's value.
    ///
    /// # Errors
    ///
    /// Where the value is no draft.
    pub fn decode(bytes: &[u8]) -> Result<Draft, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The value that the platform keeps.
    ///
    /// # Errors
    ///
    /// Those of the JSON library, which a draft cannot cause.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        Ok(serde_json::to_vec(self)?.into())
    }

    /// The edit that accepting the draft makes.
    ///
    /// # Errors
    ///
    /// [`PageError::TooLarge`] where the text is past a page's bound.
    pub fn edit(&self) -> Result<Edit, PageError> {
        let after = self.text.as_deref().map(Page::new).transpose()?;
        Ok(Edit {
            name: self.name.clone(),
            base: Base { revision: self.base, page: self.base_page },
            after,
        })
    }
}
