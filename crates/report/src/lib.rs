//! Error budget burn of services, measured from outcomes as the callers saw them.
//!
//! A service's objectives allow a share of bad calls: the error budget. The burn rate is the share
//! of bad calls divided by the allowed share, so 1.0 spends exactly the budget. Each VM counts its
//! calls in a [`table::BurnTable`], which raises alerts and exports its counts; the operators'
//! command merges the exports of all VMs into a [`summary::BurnSummary`] and renders it.

pub mod alert;
pub mod export;
pub mod html;
pub mod ring;
pub mod summary;
pub mod table;
pub mod text;
pub mod tuning;

pub mod prelude {
    //! The types that the `gate` crate and the operators' command need.

    pub use crate::alert::{AlertChange, BurnAlert, BurnKind, BurnRule};
    pub use crate::export::{BurnExport, BurnObjective, BurnTotals, ServiceBurn};
    pub use crate::html::to_html;
    pub use crate::summary::{BurnSummary, SummaryRow, WindowBurn};
    pub use crate::table::BurnTable;
    pub use crate::text::{to_json, to_text};
    pub use crate::tuning::{BurnTuning, WINDOWS};
}
