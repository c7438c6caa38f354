//! Routes that map path prefixes to classes.

use serde::Deserialize;

/// A path prefix and the class of the objects below it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, for example `/media/videos`. The rest of the path is the object's name.
    pub prefix: String,
    /// The class's name in the settings.
    pub class: String,
}

/// An error in a list of routes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutesError {
    /// A prefix that no path can begin with, or after which the start of the object's name is ambiguous.
    #[error(
        "route '{0}': expected a prefix with a leading '/', no trailing '/', and no '?', '#' or empty segment"
    )]
    InvalidPrefix(String),
    /// Two routes have the same prefix.
    #[error("route '{0}': duplicate prefix")]
    DuplicatePrefix(String),
}

/// The director's routes. If several match a path, the one with the longest prefix applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes(Vec<Route>);

impl Routes {
    /// Creates routes from a list in any order. Returns an error if a prefix is invalid or occurs twice.
    pub fn new(mut routes: Vec<Route>) -> Result<Routes, RoutesError> {
        if let Some(route) = routes.iter().find(|route| !is_valid_prefix(&route.prefix)) {
            return Err(RoutesError::InvalidPrefix(route.prefix.clone()));
        }
        routes.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix)));
        match routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
            Some(pair) => Err(RoutesError::DuplicatePrefix(pair[0].prefix.clone())),
            None => Ok(Routes(routes)),
        }
    }

    /// Returns the class and the object's name for a path, or `None` if no route matches.
    pub fn find<'a>(&self, path: &'a str) -> Option<(&str, &'a str)> {
        self.0.iter().find_map(|route| {
            let object = path.strip_prefix(route.prefix.as_str())?.strip_prefix('/')?;
            (!object.is_empty()).then_some((route.class.as_str(), object))
        })
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    let is_valid_segment = |segment: &str| !segment.is_empty() && !segment.contains(['?', '#']);
    prefix.strip_prefix('/').is_some_and(|rest| rest.split('/').all(is_valid_segment))
}
