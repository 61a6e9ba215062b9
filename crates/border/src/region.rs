//! The data centres of a deployment, as the process settings name them.

use std::collections::BTreeMap;

use base::prelude::*;
use world::prelude::*;

use crate::centre::{MAX_CENTRES, MAX_ONE_WAY_MS};
use crate::field;
use crate::generated::settings::SettingsDocument;
use crate::problem::{FieldPath, ProblemList, quoted};

/// The region of a VM whose settings name none: all of its data centres are in one region.
const DEFAULT_REGION: &str = "default";

/// Checks the regions and returns the data centres by name. They include the one that the VM runs
/// in.
pub(crate) fn review_centres(
    document: &SettingsDocument,
    problems: &mut ProblemList,
) -> Vec<DataCentre> {
    let list = FieldPath::top("regions");
    field::length(&list, document.regions.len(), 0..=MAX_CENTRES, problems);
    let regions: BTreeMap<&String, &String> = document.regions.iter().collect();
    let mut centres: Vec<DataCentre> = Vec::with_capacity(regions.len().max(1));
    for (name, region) in regions {
        let name = field::name(&list, name, problems);
        let region = field::name(&list.field(&name), region, problems);
        centres.push(DataCentre { name, region });
    }
    let region_path = FieldPath::top("region");
    let region = document.region.as_ref().map(|text| field::name(&region_path, text, problems));
    let own = centres.iter().find(|centre| centre.name == *document.data_centre);
    match (own, region) {
        (Some(own), Some(region)) if own.region != region => {
            let reason = format!("{} differs from regions.{}", quoted(&region), own.name);
            problems.report(&region_path, reason, "give the same region, or leave the field out");
        }
        (None, _) if !centres.is_empty() => {
            let reason = format!("has no entry for {}", quoted(&document.data_centre));
            problems.report(&list, reason, "add the data centre that the VM runs in");
        }
        (None, region) => {
            let name = SharedName::from(document.data_centre.as_str());
            let region = region.unwrap_or_else(|| DEFAULT_REGION.into());
            centres.push(DataCentre { name, region });
        }
        _ => {}
    }
    centres
}

/// Checks the latency between data centres of one region.
pub(crate) fn review_latency(millis: f64, problems: &mut ProblemList) -> ClockSpan {
    let remedy = "give the latency in one direction, in milliseconds";
    let path = FieldPath::top("data_centre_latency_ms");
    field::within(&path, millis, 0.0..=MAX_ONE_WAY_MS, remedy, problems);
    ClockSpan::from_millis_f64(millis)
}
