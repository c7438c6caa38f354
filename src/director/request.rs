//! A request that a host application sends to the director.

use super::SendError;
use crate::dispatch::{is_name, ClientRequest, Dispatcher, MAX_WRITE_BYTES};
use crate::policy::types::Class;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A read or a write of an object.
#[derive(Clone, Debug, Default)]
pub struct CacheRequest {
    class: String,
    id: Arc<str>,
    object: Arc<str>,
    part: Option<u32>,
    group: Option<u32>,
    size_kb: f64,
    is_retry: bool,
    timeout: Option<Duration>,
    if_none_match: Option<Arc<str>>,
    idempotency_key: Option<Arc<str>>,
    body: Bytes,
}

impl CacheRequest {
    /// Creates a request for an object of the class with this name in the settings.
    pub fn new(class: impl Into<String>, object: impl Into<Arc<str>>) -> Self {
        CacheRequest { class: class.into(), object: object.into(), ..CacheRequest::default() }
    }

    /// Sets the part of the object to read, counted from 0.
    pub fn part(mut self, part: u32) -> Self {
        self.part = Some(part);
        self
    }

    /// Sets the object's group, by which it can be purged. Without one, a purge of any group applies to it.
    pub fn group(mut self, group: u32) -> Self {
        self.group = Some(group);
        self
    }

    /// Sets the part's size in KB. Unset means unknown.
    pub fn size_kb(mut self, size: f64) -> Self {
        self.size_kb = size;
        self
    }

    /// Sets how long to wait for a response. The default is the class's deadline.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Sets the entity tag of the client's copy. If that copy is current, the response is
    /// [`ClientResponse::NotModified`](crate::dispatch::ClientResponse::NotModified).
    pub fn if_none_match(mut self, tag: impl Into<Arc<str>>) -> Self {
        self.if_none_match = Some(tag.into());
        self
    }

    /// Sets the idempotency key by which servers recognize and discard retries, for classes that use one. It
    /// must be the same for each retry.
    pub fn idempotency_key(mut self, key: impl Into<Arc<str>>) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }

    /// Sets the data to write, for classes that write.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the id that is forwarded to servers. The director generates one by default. No two pending
    /// requests may share an id.
    pub fn id(mut self, id: impl Into<Arc<str>>) -> Self {
        self.id = id.into();
        self
    }

    /// Marks the request as a client's retry.
    pub fn retry(mut self) -> Self {
        self.is_retry = true;
        self
    }

    /// Validates the request against the settings in force and converts it for the dispatcher. The settings
    /// apply to it from here on.
    pub(super) fn into_client_request(self, dispatcher: &Dispatcher) -> Result<ClientRequest, SendError> {
        let rules = dispatcher.class_rules(&self.class);
        let rules = rules.ok_or_else(|| SendError::UnknownClass(self.class.clone()))?;
        self.validate(rules.class())?;
        let request = ClientRequest::new(rules);
        let id = if self.id.is_empty() { dispatcher.generate_request_id() } else { self.id };
        Ok(ClientRequest {
            id,
            object: self.object,
            part: self.part,
            group: self.group,
            size_kb: self.size_kb,
            is_retry: self.is_retry,
            timeout: self.timeout.unwrap_or(request.timeout),
            if_none_match: self.if_none_match,
            idempotency_key: self.idempotency_key,
            body: self.body,
            ..request
        })
    }

    fn validate(&self, class: &Class) -> Result<(), SendError> {
        if !self.has_valid_names() {
            return Err(SendError::BadName);
        }
        if self.body.len() > MAX_WRITE_BYTES {
            return Err(SendError::TooLarge { len: self.body.len(), max: MAX_WRITE_BYTES });
        }
        if !class.write && !self.body.is_empty() {
            return Err(SendError::UnwantedBody);
        }
        Ok(())
    }

    /// Returns whether the request's names can be forwarded to servers unchanged.
    fn has_valid_names(&self) -> bool {
        let optional = [&self.if_none_match, &self.idempotency_key];
        is_name(&self.object) && optional.into_iter().flatten().all(|name| is_name(name))
    }
}
