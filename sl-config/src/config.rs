//! The configuration in force: accepted templates and the indexes over them.

use std::{collections::HashMap, sync::Arc};

use sl_base::{Code, Revision, TeamId};

use crate::template::{Route, Team, Template};

/// Every accepted template at one revision, indexed for lookups on the request path.
#[derive(Clone, Debug, Default)]
pub struct Config {
    revision: Revision,
    templates: Vec<Arc<Template>>,
    by_credential: HashMap<String, Place>,
    by_team: HashMap<TeamId, Place>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    template: usize,
    team: usize,
}

impl Config {
    /// The configuration that `templates` make up at `revision`.
    pub fn new(revision: Revision, templates: Vec<Arc<Template>>) -> Config {
        let mut by_credential = HashMap::new();
        let mut by_team = HashMap::new();
        for (template, page) in templates.iter().enumerate() {
            for (team, it) in page.teams.iter().enumerate() {
                let place = Place { template, team };
                by_team.insert(it.id, place);
                for credential in &it.credentials {
                    by_credential.insert(credential.clone(), place);
                }
            }
        }
        Config { revision, templates, by_credential, by_team }
    }

    /// The accepted revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The accepted templates.
    pub fn templates(&self) -> &[Arc<Template>] {
        &self.templates
    }

    /// The team that a credential names; the credential comes as the BLAKE3 hash in hex,
    /// so that the lookup's timing tells nothing of the credential itself.
    pub fn team_of(&self, credential_hash: &str) -> Option<(&Team, &Template)> {
        self.by_credential.get(credential_hash).map(|&place| self.at(place))
    }

    /// A team by its id.
    pub fn team(&self, id: TeamId) -> Option<&Team> {
        self.by_team.get(&id).map(|&place| self.at(place).0)
    }

    /// The route of `template` that takes a call.
    ///
    /// # Errors
    ///
    /// [`Code::UnknownRoute`] where no route has the path, [`Code::MethodNotAllowed`]
    /// where one has, but not for the method.
    pub fn route<'a>(template: &'a Template, method: &str, path: &str) -> Result<&'a Route, Code> {
        let mut code = Code::UnknownRoute;
        for route in &template.routes {
            if !route.matches_path(path) {
                continue;
            }
            if route.methods.is_empty() || route.methods.iter().any(|it| it == method) {
                return Ok(route);
            }
            code = Code::MethodNotAllowed;
        }
        Err(code)
    }

    fn at(&self, place: Place) -> (&Team, &Template) {
        let template = &self.templates[place.template];
        (&template.teams[place.team], template)
    }
}

impl Route {
    fn matches_path(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }
}
