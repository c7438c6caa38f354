//! A request to the director, as a host application builds it.

use super::SendError;
use crate::dispatch::{is_name, ClientRequest, Dispatcher, MAX_WRITE_BYTES};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// A request for an object, or a write.
#[derive(Clone, Debug, Default)]
pub struct CacheRequest {
    class: String,
    request: ClientRequest,
    timeout: Option<Duration>,
}

impl CacheRequest {
    /// A request for an object of a class, by its name among the settings' classes.
    pub fn new(class: impl Into<String>, object: impl Into<Arc<str>>) -> Self {
        let request = ClientRequest { object: object.into(), ..ClientRequest::default() };
        CacheRequest { class: class.into(), request, timeout: None }
    }

    /// A part of the object, counted from 0.
    pub fn part(mut self, part: u32) -> Self {
        self.request.part = Some(part);
        self
    }

    /// The object's group, which purges may name. Without one it is taken to belong to all.
    pub fn group(mut self, group: u32) -> Self {
        self.request.group = Some(group);
        self
    }

    /// The part's size in KB, where it is known.
    pub fn size_kb(mut self, size: f64) -> Self {
        self.request.size_kb = size;
        self
    }

    /// How long a response is waited for; the class's deadline unless set.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// The tag of a copy that the client has: the response may be
    /// [`ClientResponse::NotModified`](crate::dispatch::ClientResponse::NotModified) then.
    pub fn if_none_match(mut self, tag: impl Into<Arc<str>>) -> Self {
        self.request.if_none_match = Some(tag.into());
        self
    }

    /// The key by which servers recognize a retry, for classes whose retries they discard: the same with each
    /// retry.
    pub fn idempotency_key(mut self, key: impl Into<Arc<str>>) -> Self {
        self.request.idempotency_key = Some(key.into());
        self
    }

    /// What is to be written, for classes that write.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.request.body = body.into();
        self
    }

    /// The id under which it is forwarded to servers; one of the director's own unless set. No two pending
    /// requests may share one.
    pub fn id(mut self, id: impl Into<Arc<str>>) -> Self {
        self.request.id = id.into();
        self
    }

    /// Marks a client's retry.
    pub fn retry(mut self) -> Self {
        self.request.is_retry = true;
        self
    }

    /// The request as the dispatcher takes it, by the settings in force.
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

/// Whether the names in a request can be forwarded to servers unchanged.
fn has_valid_names(request: &ClientRequest) -> bool {
    let optional = [&request.if_none_match, &request.idempotency_key];
    is_name(&request.object) && optional.into_iter().flatten().all(|name| is_name(name))
}
