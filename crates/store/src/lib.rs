//! Access to the platform's table service, object store and membership list.
//!
//! [`store::PlatformStore`] is the interface, [`memory::MemoryStore`] and [`http::HttpStore`]
//! implement it, and [`wire`] holds the bodies of the protocol that `docs/platform.md` describes.

pub mod breaker;
pub mod budget;
mod connection;
pub mod digest;
pub mod http;
pub mod memory;
pub mod prelude;
pub mod row;
pub mod store;
pub mod wire;
