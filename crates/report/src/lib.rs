//! Service-level objective burn, measured from outcomes as the caller saw them.

pub mod alert;
pub mod export;
pub mod html;
pub mod ring;
pub mod summary;
pub mod table;
pub mod text;
pub mod tuning;

pub mod prelude {
    //! The types that the gate and the operators' command need.

    pub use crate::alert::{AlertChange, BurnAlert, BurnKind, BurnRule};
    pub use crate::export::{BurnExport, BurnObjective, BurnTotals, ServiceBurn};
    pub use crate::html::to_html;
    pub use crate::summary::{BurnSummary, SummaryRow, WindowBurn};
    pub use crate::table::BurnTable;
    pub use crate::text::{to_json, to_text};
    pub use crate::tuning::{BurnTuning, WINDOWS};
}
