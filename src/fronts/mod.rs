//! What clients and operators speak with: requests become asks of the core, outcomes become statuses.

pub mod http;
pub mod ops;
pub mod platform;
pub mod serve;
pub mod signed;
pub mod stream;
