//! Parses the target of a request with a valid credential: `/CLASS/OBJECT?block=PART&family=GROUP`.

use super::Grant;
use crate::dispatch::request::{forwarded_object_name, is_name, ClientRequest};
use crate::policy::types::{RequestRules, Settings};
use bytes::Bytes;
use std::sync::Arc;

const PART_PARAMETER: &str = "block";
const GROUP_PARAMETER: &str = "family";

/// Error of a request that cannot be dispatched although its credential is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("request cannot be dispatched: HTTP status {status}")]
pub struct InvalidRequest {
    /// HTTP status of the response: 400, 404 or 405.
    pub status: u16,
    /// Value of the `Allow` header. Set with status 405 only.
    pub allowed_method: Option<&'static str>,
}

impl InvalidRequest {
    const BAD_REQUEST: InvalidRequest = InvalidRequest { status: 400, allowed_method: None };
    const NOT_FOUND: InvalidRequest = InvalidRequest { status: 404, allowed_method: None };

    fn method_not_allowed(allowed_method: &'static str) -> InvalidRequest {
        InvalidRequest { status: 405, allowed_method: Some(allowed_method) }
    }
}

/// Converts the granted target to a request with this id. Object names can contain slashes.
pub fn parse_request(
    settings: Arc<Settings>,
    method: &str,
    grant: &Grant,
    id: Arc<str>,
    if_none_match: Option<&str>,
    body: Bytes,
) -> Result<ClientRequest, InvalidRequest> {
    let (path, query) = grant.target.split_once('?').unwrap_or((&grant.target, ""));
    let segments = path.strip_prefix('/').and_then(|path| path.split_once('/'));
    let (class_name, object) = segments.ok_or(InvalidRequest::NOT_FOUND)?;
    let rules = RequestRules::of_class(settings, class_name).ok_or(InvalidRequest::NOT_FOUND)?;
    let allowed_method = if rules.class().write { "PUT" } else { "GET" };
    if method != allowed_method {
        return Err(InvalidRequest::method_not_allowed(allowed_method));
    }
    let object = parse_object(object)?;
    let Parameters { part, group } = Parameters::parse(query)?;
    Ok(ClientRequest {
        id,
        object: object.into(),
        part,
        group,
        if_none_match: if_none_match.filter(|tag| is_name(tag)).map(Into::into),
        body,
        credential_expires_at: grant.expires_at,
        ..ClientRequest::new(rules)
    })
}

/// Returns the object name in the form in which it is sent to servers.
fn parse_object(path: &str) -> Result<String, InvalidRequest> {
    // Each object has exactly one path. Paths that could be normalized to another path are rejected.
    if path.split('/').any(|segment| matches!(segment, "" | "." | "..")) {
        return Err(InvalidRequest::BAD_REQUEST);
    }
    let object = forwarded_object_name(path);
    if !is_name(&object) {
        return Err(InvalidRequest::BAD_REQUEST);
    }
    Ok(object)
}

#[derive(Default)]
struct Parameters {
    part: Option<u32>,
    group: Option<u32>,
}

impl Parameters {
    /// Parses the query. Unknown and repeated parameters are errors.
    fn parse(query: &str) -> Result<Parameters, InvalidRequest> {
        let mut parameters = Parameters::default();
        for parameter in query.split('&').filter(|parameter| !parameter.is_empty()) {
            let (name, value) = parameter.split_once('=').ok_or(InvalidRequest::BAD_REQUEST)?;
            let field = match name {
                PART_PARAMETER => &mut parameters.part,
                GROUP_PARAMETER => &mut parameters.group,
                _ => return Err(InvalidRequest::BAD_REQUEST),
            };
            let number = value.parse().map_err(|_| InvalidRequest::BAD_REQUEST)?;
            if field.replace(number).is_some() {
                return Err(InvalidRequest::BAD_REQUEST);
            }
        }
        Ok(parameters)
    }
}
