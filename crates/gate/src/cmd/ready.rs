//! Telling that the process is ready.

use border::ProcessSettings;
use gate::event;
use gate::observe::ObserveServer;
use gate::process::RunningGate;
use peer::prelude::*;

/// Tells where the process listens, in the log and as one line of JSON.
pub(super) fn announce(
    settings: &ProcessSettings,
    gate: &RunningGate,
    control: &ControlServer,
    observe: &ObserveServer,
) {
    let address = gate.caller_address;
    tracing::info!(event = event::STARTED, vm = %settings.vm_name, %address, "started");
    let ready = serde_json::json!({
        "caller_address": address,
        "control_address": control.address,
        "metrics_address": observe.address,
    });
    println!("{ready}");
}
