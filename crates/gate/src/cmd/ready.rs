//! Reports that the process is ready.

use border::ProcessSettings;
use gate::event;
use gate::log::ProcessLog;
use gate::metrics_server::MetricsServer;
use gate::process::RunningGate;
use peer::prelude::*;
use tokio_util::task::AbortOnDropHandle;

/// Reports the addresses of the process in the ready line, which is one line of JSON, and in the
/// log. Returns the task that reports dropped log lines.
pub(super) fn announce_ready(
    settings: &ProcessSettings,
    gate: &RunningGate,
    control: &ControlServer,
    metrics_server: &MetricsServer,
    log: &mut ProcessLog,
) -> AbortOnDropHandle<()> {
    let address = gate.caller_address;
    tracing::info!(event = event::STARTED, vm = %settings.vm_name, %address, "started");
    let ready = serde_json::json!({
        "caller_address": address,
        "control_address": control.address,
        "metrics_address": metrics_server.address,
    });
    log.write_ready_line(&ready);
    let dropped = gate.state.tables.metrics.log_dropped.clone();
    AbortOnDropHandle::new(tokio::spawn(log.report_dropped_lines(dropped)))
}
