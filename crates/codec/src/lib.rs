//! The border between calls and their encoding.
//!
//! [`CallCodec`](call::CallCodec) is what the request path needs of an interface: how a request
//! names its deadline and id, how an upstream's answer is judged, and how a refusal is told.
//! [`NativeCodec`](native::NativeCodec) implements it for the product's own interface. A codec
//! translates and decides nothing else.

pub mod call;
pub mod head;
pub mod native;
pub mod refusal;

pub mod prelude {
    //! The types that the request path needs.

    pub use crate::call::{
        AnswerMarks, AnswerVerdict, BodyLength, CallCodec, CheckFacts, RequestFacts, RequestMark,
    };
    pub use crate::head::HeadError;
    pub use crate::native::NativeCodec;
    pub use crate::refusal::{CallFate, CallRefusal};
}
