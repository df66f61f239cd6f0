//! Reads the head, pages and drafts.

use sl_base::call::Version;
use sl_config::{Draft, Head, Page, PageHash, head};

use crate::{
    store::{self, NoAnswer, Store},
    template::Error,
};

impl From<NoAnswer> for Error {
    fn from(NoAnswer: NoAnswer) -> Error {
        Error::Unreachable
    }
}

pub(super) async fn head(store: &impl Store) -> Result<Head, Error> {
    let Some((_, value)) = store::read(store, head::KEY.to_owned()).await? else {
        return Ok(Head::default());
    };
    Head::decode(&value).map_err(|e| damaged(head::KEY, &e))
}

pub(super) async fn page(store: &impl Store, hash: PageHash) -> Result<Page, Error> {
    let found = store::read(store, hash.key()).await?;
    let (_, value) = found.ok_or(Error::NoPage(hash))?;
    Page::open(hash, &value).map_err(|e| damaged(&hash.key(), &e))
}

/// The page's text, or nothing where there is no page.
pub(super) async fn text(store: &impl Store, hash: Option<PageHash>) -> Result<String, Error> {
    match hash {
        Some(hash) => Ok(page(store, hash).await?.text().to_owned()),
        None => Ok(String::new()),
    }
}

pub(super) async fn draft(
    store: &impl Store,
    name: &str,
) -> Result<Option<(Version, Draft)>, Error> {
    let key = Draft::key(name);
    let Some((version, value)) = store::read(store, key.clone()).await? else {
        return Ok(None);
    };
    let draft = Draft::decode(&value).map_err(|e| damaged(&key, &e))?;
    Ok(Some((version, draft)))
}

/// The draft of the template `name`, which `by` is believed to have written.
pub(super) async fn draft_by(
    store: &impl Store,
    name: &str,
    by: &str,
) -> Result<(Version, Draft), Error> {
    let found = draft(store, name).await?;
    let (version, draft) = found.ok_or_else(|| Error::NoDraft(name.to_owned()))?;
    if draft.written_by != by {
        return Err(Error::NotYours { name: draft.name, by: draft.written_by });
    }
    Ok((version, draft))
}

fn damaged(key: &str, why: &impl ToString) -> Error {
    Error::Damaged { key: key.to_owned(), why: why.to_string() }
}
