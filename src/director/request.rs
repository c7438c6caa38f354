//! A request that a host application sends to the director.

use super::SendError;
use crate::dispatch::{is_name, ClientRequest, Dispatcher, MAX_WRITE_BYTES};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A read or a write of an object.
#[derive(Clone, Debug, Default)]
pub struct CacheRequest {
    class: String,
    request: ClientRequest,
    timeout: Option<Duration>,
}

impl CacheRequest {
    /// Creates a request for an object of the class with this name in the settings.
    pub fn new(class: impl Into<String>, object: impl Into<Arc<str>>) -> Self {
        let request = ClientRequest { object: object.into(), ..ClientRequest::default() };
        CacheRequest { class: class.into(), request, timeout: None }
    }

    /// Sets the part of the object to read, counted from 0.
    pub fn part(mut self, part: u32) -> Self {
        self.request.part = Some(part);
        self
    }

    /// Sets the object's group, by which it can be purged. Without one, a purge of any group applies to it.
    pub fn group(mut self, group: u32) -> Self {
        self.request.group = Some(group);
        self
    }

    /// Sets the part's size in KB. Unset means unknown.
    pub fn size_kb(mut self, size: f64) -> Self {
        self.request.size_kb = size;
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
        self.request.if_none_match = Some(tag.into());
        self
    }

    /// Sets the idempotency key by which servers recognize and discard retries, for classes that use one. It
    /// must be the same for each retry.
    pub fn idempotency_key(mut self, key: impl Into<Arc<str>>) -> Self {
        self.request.idempotency_key = Some(key.into());
        self
    }

    /// Sets the data to write, for classes that write.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.request.body = body.into();
        self
    }

    /// Sets the id that is forwarded to servers. The director generates one by default. No two pending
    /// requests may share an id.
    pub fn id(mut self, id: impl Into<Arc<str>>) -> Self {
        self.request.id = id.into();
        self
    }

    /// Marks the request as a client's retry.
    pub fn retry(mut self) -> Self {
        self.request.is_retry = true;
        self
    }

    /// Validates the request against the settings in force and converts it for the dispatcher.
    pub(super) fn into_client_request(self, dispatcher: &Dispatcher) -> Result<ClientRequest, SendError> {
        let (settings, mut request) = (dispatcher.settings(), self.request);
        let index = settings.class_index(&self.class).ok_or(SendError::UnknownClass(self.class))?;
        let class = &settings.classes[index];
        if !has_valid_names(&request) {
            return Err(SendError::BadName);
        }
        if request.body.len() > MAX_WRITE_BYTES {
            return Err(SendError::TooLarge { len: request.body.len(), max: MAX_WRITE_BYTES });
        }
        if !class.write && !request.body.is_empty() {
            return Err(SendError::UnwantedBody);
        }
        if request.id.is_empty() {
            request.id = dispatcher.generate_request_id();
        }
        request.timeout = self.timeout.unwrap_or(Duration::from_micros(class.deadline));
        request.class = index;
        Ok(request)
    }
}

/// Returns whether the names in a request can be forwarded to servers unchanged.
fn has_valid_names(request: &ClientRequest) -> bool {
    let optional = [&request.if_none_match, &request.idempotency_key];
    is_name(&request.object) && optional.into_iter().flatten().all(|name| is_name(name))
}
