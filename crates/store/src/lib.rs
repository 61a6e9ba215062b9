//! Access to the platform's table service, object store and membership list.
//!
//! [`client`] carries every call. [`feed::RowStore`] reads and follows tables of row stores whose
//! calls a [`feed::RowCodec`] encodes. [`store::PlatformStore`] is the interface for transactions, [`memory::MemoryStore`] and [`http::HttpStore`]
//! implement it, and [`wire`] holds the bodies of the protocol that `docs/platform.md` describes.

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
