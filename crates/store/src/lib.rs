//! Client of the platform's table service, object store and membership list.
//!
//! [`client`] sends every call, subject to the circuit breaker and the budget. [`feed::RowStore`]
//! reads tables of row stores and follows their changes; a [`feed::RowCodec`] encodes its calls.
//! [`store::PlatformStore`] is the interface for transactions; [`memory::MemoryStore`] and
//! [`http::HttpStore`] implement it. [`wire`] holds the request and response bodies of the protocol
//! that `docs/platform.md` describes.

pub mod breaker;
pub mod budget;
pub mod client;
pub mod connection;
pub mod digest;
pub mod feed;
pub mod http;
pub mod memory;
pub mod prelude;
pub mod row;
pub mod store;
pub mod wire;
