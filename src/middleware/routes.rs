//! Routes: from the prefix of a path to the class of the objects below it.

use serde::Deserialize;

/// A prefix of paths and the class of the objects below it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// As in `/media/videos`; the rest of the path names the object.
    pub prefix: String,
    /// The class's name in the settings.
    pub class: String,
}

/// Why routes are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutesError {
    /// A prefix that no path begins with, or that leaves open where the object's name begins.
    #[error(
        "route '{0}': a prefix begins with '/', does not end with it, and has no '?', '#' or empty segment"
    )]
    InvalidPrefix(String),
    /// Two routes for one prefix.
    #[error("route '{0}': there twice")]
    DuplicatePrefix(String),
}

/// The director's routes; the longest matching prefix decides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes(Vec<Route>);

impl Routes {
    /// Routes from a list in any order.
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

    /// The class and the object's name in a path; none: no route matches.
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
