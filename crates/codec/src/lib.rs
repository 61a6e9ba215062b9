//! How the metadata of calls is encoded in HTTP heads.
//!
//! An interface is a set of headers, statuses and paths that callers, the gateway and upstreams
//! agree on. [`CallCodec`](call::CallCodec) is what the request path needs of an interface: how a
//! request states its deadline and id, what an upstream's answer means, and how a refusal is
//! encoded. [`NativeCodec`](native::NativeCodec) implements it for the `agateroad-` headers. A
//! codec only translates; it does not decide on retries or routing.

pub mod call;
pub mod head;
pub mod native;
pub mod refusal;

pub mod prelude {
    //! The types that the request path needs.

    pub use crate::call::{
        AnswerFacts, AnswerVerdict, AttemptFacts, BodyLength, CallCodec, CheckFacts, RequestFacts,
        UpstreamWish,
    };
    pub use crate::head::HeadError;
    pub use crate::native::NativeCodec;
    pub use crate::refusal::{CallFate, CallRefusal};
}
