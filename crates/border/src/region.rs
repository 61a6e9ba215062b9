//! Checks the regions and data centres in the process settings.

use std::collections::BTreeMap;

use base::prelude::*;
use world::prelude::*;

use crate::centre::{MAX_CENTRES, MAX_ONE_WAY_MS};
use crate::field;
use crate::generated::settings::SettingsDocument;
use crate::problem::{FieldPath, ProblemList, quoted};

/// The region if the settings state none: all data centres are then in one region.
const DEFAULT_REGION: &str = "default";

/// Checks the regions and returns the data centres, sorted by name. They include the data centre of
/// the VM.
pub(crate) fn check_centres(
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
    let vm_centre = centres.iter().find(|centre| centre.name == *document.data_centre);
    match (vm_centre, region) {
        (Some(vm_centre), Some(region)) if vm_centre.region != region => {
            let reason = format!("{} differs from regions.{}", quoted(&region), vm_centre.name);
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

/// Checks the latency in one direction between data centres of one region, in milliseconds, and
/// returns it.
pub(crate) fn check_latency(millis: f64, problems: &mut ProblemList) -> ClockSpan {
    let remedy = "give the latency in one direction, in milliseconds";
    let path = FieldPath::top("data_centre_latency_ms");
    field::within(&path, millis, 0.0..=MAX_ONE_WAY_MS, remedy, problems);
    ClockSpan::from_millis_f64(millis)
}
