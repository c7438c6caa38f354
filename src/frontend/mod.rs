//! What clients and operators speak with: requests become asks of the core, outcomes become statuses.

pub mod admin;
pub mod http;
pub mod platform;
pub mod serve;
pub mod signed;
pub mod stream;
