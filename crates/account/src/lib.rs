//! Quotas of client accounts over all VMs.
//!
//! The quota of an account is divided into equal parts, one for each data centre. In each data
//! centre, one VM owns the part of an account and grants credits from it; every VM determines the
//! owner from the membership, so that no store is needed. A VM needs one credit for each call. It asks
//! the owner in its own data centre first, and then those of the others. A credit that was granted
//! counts as spent, whether its answer arrives or not, so that lost messages never raise the sum.
//!
//! [`owner::QuotaOwner`] decides about grants, [`credit::CreditStore`] about what a VM asks for. The
//! crate performs no I/O and reads no clock.

pub mod credit;
pub mod owner;

pub mod prelude {
    //! The types that the gate needs.

    pub use crate::credit::{CreditStep, CreditStore};
    pub use crate::owner::{CreditGrant, QuotaOwner};
}
