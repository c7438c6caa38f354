//! Which requests are the director's: from a path's beginning to a class.

use serde::Deserialize;

/// A path's beginning and the class of what stands below it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// As in `/media/videos`; the rest of the path names the object.
    pub prefix: String,
    /// The class's name in the settings.
    pub class: String,
}

/// Why routes can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutesError {
    /// A prefix that no path begins with, or that leaves it open where the object's name begins.
    #[error(
        "route '{0}': a prefix begins with '/', does not end with it, and has no '?', '#' or empty segment"
    )]
    Prefix(String),
    /// Two routes for one prefix.
    #[error("route '{0}': there twice")]
    Twice(String),
}

/// The director's routes; the longest prefix that fits decides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes(Vec<Route>);

impl Routes {
    /// Takes these, in any order.
    pub fn new(mut routes: Vec<Route>) -> Result<Routes, RoutesError> {
        for route in &routes {
            let inner = route.prefix.strip_prefix('/');
            let good = inner.is_some_and(|p| p.split('/').all(|s| !s.is_empty() && !s.contains(['?', '#'])));
            if !good {
                return Err(RoutesError::Prefix(route.prefix.clone()));
            }
        }
        routes.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix)));
        match routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
            Some(pair) => Err(RoutesError::Twice(pair[0].prefix.clone())),
            None => Ok(Routes(routes)),
        }
    }

    /// The class and the object's name in a path; none: the path is not the director's.
    pub fn find<'a>(&self, path: &'a str) -> Option<(&str, &'a str)> {
        self.0.iter().find_map(|route| {
            let object = path.strip_prefix(route.prefix.as_str())?.strip_prefix('/')?;
            (!object.is_empty()).then_some((route.class.as_str(), object))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(prefix: &str, class: &str) -> Route {
        Route { prefix: prefix.into(), class: class.into() }
    }

    #[test]
    fn the_longest_prefix_decides_and_only_at_a_slash() {
        let routes = vec![route("/media", "pages"), route("/media/videos", "videos")];
        let routes = Routes::new(routes).expect("good routes");
        assert_eq!(routes.find("/media/videos/a/b.mp4"), Some(("videos", "a/b.mp4")));
        assert_eq!(routes.find("/media/a"), Some(("pages", "a")));
        assert_eq!(routes.find("/media/videosx"), Some(("pages", "videosx")));
        for other in ["/mediax/a", "/media", "/media/", "/", "", "/other"] {
            assert_eq!(routes.find(other), None, "{other}");
        }
    }

    #[test]
    fn routes_that_cant_be_meant_are_turned_down() {
        for bad in ["", "/", "media", "/media/", "/a//b", "/a?b"] {
            assert_eq!(Routes::new(vec![route(bad, "x")]), Err(RoutesError::Prefix(bad.into())));
        }
        let twice = vec![route("/a", "x"), route("/a", "y")];
        assert_eq!(Routes::new(twice), Err(RoutesError::Twice("/a".into())));
    }
}
