//! `sesamelock template edit`: writes a draft, always with the revision it is based on.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    process::{Command, ExitStatus},
};

use miette::Diagnostic;
use serde::Serialize;
use sl_base::{Revision, call::Version};
use sl_config::{Draft, Faults, Head, Template, parse};
use thiserror::Error;

use super::read;
use crate::{
    exit::Exit,
    output::{self, Form},
    store::{self, Store, Swapped},
};

/// What to edit and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// The template's name.
    pub name: String,
    /// Where the new text comes from.
    pub source: Source,
    /// Who edits.
    pub by: String,
    /// Whether somebody else's draft may be overwritten.
    pub replace: bool,
    /// The command that opens a file for [`Source::Editor`].
    pub editor: Option<String>,
}

/// Where the new text comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// An editor, which opens the draft or else the accepted text.
    Editor,
    /// A file, which was made from the text at `base`.
    File {
        /// The file.
        path: PathBuf,
        /// The revision that it is based on.
        base: Revision,
    },
    /// Nothing: the template is to be removed.
    Removal {
        /// The revision that the operator saw.
        base: Revision,
    },
}

/// What came of the edit.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The template's name.
    pub name: String,
    /// The revision that the draft is based on.
    pub base: Revision,
    /// Whether a draft was written; the text was left as it was otherwise.
    pub written: bool,
}

/// Why no draft was written.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The platform or the text is at fault.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Template(#[from] super::Error),
    /// The name cannot name a template.
    #[error("`{0}` cannot name a template")]
    #[diagnostic(help("a name has up to 64 letters, digits, `-`, `_` and `.`"))]
    Name(String),
    /// The file could not be read.
    #[error("{} cannot be read", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// No editor is set.
    #[error("no editor is set")]
    #[diagnostic(help("set EDITOR, or give a file: --file FILE --base REVISION"))]
    NoEditor,
    /// The editor failed.
    #[error("the editor ended with {0}")]
    Editor(ExitStatus),
    /// The editor or its file failed.
    #[error("the editor cannot be run")]
    Io(#[from] io::Error),
    /// The edited text has faults; it is kept.
    #[error("the text has faults and is kept in {}", path.display())]
    #[diagnostic(help("mend it, then give it by --file with --base {base}"))]
    Kept {
        /// Where it is kept.
        path: PathBuf,
        /// The revision that it is based on.
        base: Revision,
        /// The faults.
        #[source]
        #[diagnostic_source]
        faults: Faults,
    },
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Template(e) => e.exit(),
            Error::Kept { .. } | Error::Name(_) => Exit::Faults,
            Error::Read { .. } | Error::NoEditor | Error::Editor(_) | Error::Io(_) => Exit::Failed,
        }
    }
}

/// What the draft will be based on, and the text that was there.
struct Ground {
    head: Head,
    draft: Option<(Version, Draft)>,
}

/// Writes a draft.
///
/// # Errors
///
/// [`Error`] where the text has faults, another's draft stands, or the platform does not answer.
pub async fn edit(store: &impl Store, options: &Options) -> Result<Outcome, Error> {
    if !parse::is_template_name(&options.name) {
        return Err(Error::Name(options.name.clone()));
    }
    let ground =
        Ground { head: read::head(store).await?, draft: read::draft(store, &options.name).await? };
    check_draft(&ground, options)?;
    let (base, text) = match &options.source {
        Source::Editor => match edited(store, &ground, options).await? {
            (base, Some(text)) => (base, Some(text)),
            (base, None) => return Ok(outcome(options, base, false)),
        },
        Source::File { path, base } => (*base, Some(from_file(options, path)?)),
        Source::Removal { base } => (*base, None),
    };
    let draft = draft(&ground, options, base, text)?;
    write(store, &ground, &draft).await?;
    Ok(outcome(options, base, true))
}

fn outcome(options: &Options, base: Revision, written: bool) -> Outcome {
    Outcome { name: options.name.clone(), base, written }
}

fn check_draft(ground: &Ground, options: &Options) -> Result<(), Error> {
    match &ground.draft {
        Some((_, draft)) if draft.written_by != options.by && !options.replace => {
            Err(super::Error::DraftOfAnother {
                name: draft.name.clone(),
                by: draft.written_by.clone(),
            }
            .into())
        }
        _ => Ok(()),
    }
}

fn from_file(options: &Options, path: &Path) -> Result<String, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    let read = Template::parse(&options.name, &text);
    read.map_err(|it| super::Error::Faults(it.named(&path.display().to_string())))?;
    Ok(text)
}

/// The text that comes out of the editor; none where it was left as it was.
async fn edited(
    store: &impl Store,
    ground: &Ground,
    options: &Options,
) -> Result<(Revision, Option<String>), Error> {
    let (base, before) = match &ground.draft {
        Some((_, draft)) => (draft.base, draft.text.clone().unwrap_or_default()),
        None => {
            let page = ground.head.page(&options.name);
            (ground.head.revision, read::text(store, page).await?)
        }
    };
    let mut file =
        tempfile::Builder::new().prefix(&format!("{}-", options.name)).suffix(".ini").tempfile()?;
    file.write_all(before.as_bytes())?;
    file.flush()?;
    run_editor(options.editor.as_deref(), file.path())?;
    let text = fs::read_to_string(file.path())?;
    if text == before {
        return Ok((base, None));
    }
    match Template::parse(&options.name, &text) {
        Ok(_) => Ok((base, Some(text))),
        Err(faults) => {
            let (_, path) = file.keep().map_err(|e| e.error)?;
            Err(Error::Kept { path, base, faults })
        }
    }
}

fn run_editor(editor: Option<&str>, path: &Path) -> Result<(), Error> {
    let mut words = editor.unwrap_or_default().split_whitespace();
    let program = words.next().ok_or(Error::NoEditor)?;
    let status = Command::new(program).args(words).arg(path).status()?;
    match status.success() {
        true => Ok(()),
        false => Err(Error::Editor(status)),
    }
}

fn draft(
    ground: &Ground,
    options: &Options,
    base: Revision,
    text: Option<String>,
) -> Result<Draft, Error> {
    let head = &ground.head;
    if base > head.revision {
        return Err(super::Error::TooNew(head.revision.0).into());
    }
    let kept = ground.draft.as_ref().filter(|(_, it)| it.base == base);
    let base_page = match kept {
        Some((_, draft)) => draft.base_page,
        None if base < head.reaches_back_to() => {
            return Err(super::Error::TooOld(head.reaches_back_to().0).into());
        }
        None => head.page_at(&options.name, base),
    };
    if text.is_none() && base_page.is_none() {
        return Err(super::Error::NoTemplate(options.name.clone()).into());
    }
    Ok(Draft {
        name: options.name.clone(),
        base,
        base_page,
        text,
        written_by: options.by.clone(),
        at: store::now(),
    })
}

async fn write(store: &impl Store, ground: &Ground, draft: &Draft) -> Result<(), super::Error> {
    let key = Draft::key(&draft.name);
    // An edit of the draft makes sure that its text fits a page.
    draft.edit()?;
    let value = draft
        .encode()
        .map_err(|e| super::Error::Damaged { key: key.clone(), why: e.to_string() })?;
    let expect = ground.draft.as_ref().map_or(Version::ABSENT, |it| it.0);
    match store::swap(store, &key, expect, Some(&value)).await {
        Swapped::Done => Ok(()),
        Swapped::Overtaken => Err(super::Error::Overtaken(draft.name.clone())),
        Swapped::NotDone => Err(super::Error::Unreachable),
        Swapped::Unknown => Err(super::Error::Unknown),
    }
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        let Outcome { name, base, .. } = self;
        match (form, self.written) {
            (Form::Json, _) => output::json(out, self),
            (Form::Text, false) => writeln!(out, "nothing was changed"),
            (Form::Text, true) => writeln!(
                out,
                "wrote a draft of `{name}`, based on revision {base}; \
                 see `sesamelock template diff {name}`, then `accept {name}`"
            ),
        }
    }
}
