//! From a head and its pages to the configuration that an instance runs.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use miette::Diagnostic;
use sl_base::TeamId;
use thiserror::Error;

use crate::{
    config::Config,
    fault::Faults,
    head::Head,
    page::{Page, PageHash},
    template::{Team, Template},
};

/// Pages that were fetched and the templates that were read from them, so that a change
/// costs no more than the templates that it touches.
#[derive(Clone, Debug, Default)]
pub struct Library {
    pages: BTreeMap<PageHash, Page>,
    templates: BTreeMap<(PageHash, String), Arc<Template>>,
}

/// Why pages make up no configuration.
#[derive(Clone, Debug, Error, Diagnostic)]
pub enum AssembleError {
    /// Pages are still to be fetched.
    #[error("{} pages are missing", .0.len())]
    Missing(Vec<PageHash>),
    /// A page is no template.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] Faults),
    /// Templates do not go together.
    #[error("the templates do not go together")]
    Clashes(#[related] Vec<Clash>),
}

/// Two teams that cannot stand in one configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Clash {
    /// Two templates have a team of the same name.
    #[error("the team `{team}` stands in `{first}` and in `{second}`")]
    Team {
        /// The team's name.
        team: String,
        /// The template that has it first.
        first: String,
        /// The template that has it too.
        second: String,
    },
    /// Two teams' names have the same hash.
    #[error("the teams `{first}` and `{second}` have the same id {id}: rename one")]
    Id {
        /// The id.
        id: TeamId,
        /// One team.
        first: String,
        /// The other team.
        second: String,
    },
    /// Two teams have the same credential.
    #[error("the teams `{first}` and `{second}` have the same credential")]
    Credential {
        /// One team.
        first: String,
        /// The other team.
        second: String,
    },
}

impl Library {
    /// The pages of `head` that are not here yet.
    pub fn missing(&self, head: &Head) -> Vec<PageHash> {
        let mut missing: Vec<PageHash> = head.pages.values().map(|it| it.hash).collect();
        missing.retain(|it| !self.pages.contains_key(it));
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    /// Takes a page in.
    pub fn insert(&mut self, page: Page) {
        self.pages.insert(page.hash(), page);
    }

    /// A page that is here, such as for a peer that asks.
    pub fn page(&self, hash: PageHash) -> Option<&Page> {
        self.pages.get(&hash)
    }

    /// Drops every page that `head` does not name.
    pub fn retain(&mut self, head: &Head) {
        let kept: BTreeSet<PageHash> = head.pages.values().map(|it| it.hash).collect();
        self.pages.retain(|hash, _| kept.contains(hash));
        self.templates.retain(|(hash, name), _| head.page(name) == Some(*hash));
    }

    /// The configuration that `head` names.
    ///
    /// # Errors
    ///
    /// [`AssembleError`] where pages are missing, are no templates or do not go together.
    pub fn assemble(&mut self, head: &Head) -> Result<Config, AssembleError> {
        let missing = self.missing(head);
        if !missing.is_empty() {
            return Err(AssembleError::Missing(missing));
        }
        let mut templates = Vec::with_capacity(head.pages.len());
        for (name, accepted) in &head.pages {
            templates.push(self.template(name, accepted.hash)?);
        }
        let clashes = clashes(&templates);
        if !clashes.is_empty() {
            return Err(AssembleError::Clashes(clashes));
        }
        Ok(Config::new(head.revision, templates))
    }

    fn template(&mut self, name: &str, hash: PageHash) -> Result<Arc<Template>, AssembleError> {
        let key = (hash, name.to_owned());
        if let Some(template) = self.templates.get(&key) {
            return Ok(template.clone());
        }
        let missing = || AssembleError::Missing(vec![hash]);
        let page = self.pages.get(&hash).ok_or_else(missing)?;
        let template = Arc::new(Template::parse(name, page.text())?);
        self.templates.insert(key, template.clone());
        Ok(template)
    }
}

/// The teams that cannot stand in one configuration.
pub fn clashes(templates: &[Arc<Template>]) -> Vec<Clash> {
    let mut found = Vec::new();
    let mut by_id: HashMap<TeamId, (&Team, &Template)> = HashMap::new();
    let mut by_credential: HashMap<&str, &Team> = HashMap::new();
    for template in templates {
        for team in &template.teams {
            if let Some((first, home)) = by_id.insert(team.id, (team, template)) {
                found.push(clash_of_ids(first, home, team, template));
            }
            for credential in &team.credentials {
                match by_credential.insert(credential, team) {
                    Some(first) if first.name != team.name => found.push(Clash::Credential {
                        first: first.name.clone(),
                        second: team.name.clone(),
                    }),
                    _ => {}
                }
            }
        }
    }
    found
}

fn clash_of_ids(first: &Team, home: &Template, second: &Team, template: &Template) -> Clash {
    if first.name == second.name {
        return Clash::Team {
            team: first.name.clone(),
            first: home.name.clone(),
            second: template.name.clone(),
        };
    }
    Clash::Id { id: first.id, first: first.name.clone(), second: second.name.clone() }
}
