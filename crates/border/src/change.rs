//! Compares two versions of the settings when a process reloads them.

use crate::fleet::FleetSettings;
use crate::settings::{ProcessSettings, ProcessTimeouts};

/// The JSON paths of the fields that differ between two versions of the settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsChange {
    /// Changed fields that take effect at once.
    pub live: Vec<&'static str>,
    /// Changed fields that take effect only when the process is restarted.
    pub restart: Vec<&'static str>,
}

impl SettingsChange {
    /// Returns whether no field differs.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.restart.is_empty()
    }
}

/// Returns the fields that differ between the settings in force, `old`, and those just read, `new`.
pub fn settings_change(old: &ProcessSettings, new: &ProcessSettings) -> SettingsChange {
    SettingsChange { live: live_fields(old, new), restart: restart_fields(old, new) }
}

/// Returns the settings in force after a reload: the live fields of `new` and the other fields of
/// `old`.
pub fn reloaded_settings(old: &ProcessSettings, new: &ProcessSettings) -> ProcessSettings {
    let drain_delay = if is_drain_delay_live(old, new) {
        new.timeouts.drain_delay
    } else {
        old.timeouts.drain_delay
    };
    ProcessSettings {
        log_level: new.log_level,
        peer_seeds: new.peer_seeds.clone(),
        peer_secrets: new.peer_secrets.clone(),
        operator_secrets: new.operator_secrets.clone(),
        timeouts: ProcessTimeouts { drain_delay, ..new.timeouts.clone() },
        fleet: FleetSettings { drain_limit: old.fleet.drain_limit, ..new.fleet.clone() },
        ..old.clone()
    }
}

/// Returns whether a change of `leave_ms` takes effect at once. Its default and its bound depend on
/// the interface, which changes only with a restart.
fn is_drain_delay_live(old: &ProcessSettings, new: &ProcessSettings) -> bool {
    old.interface == new.interface
}

fn live_fields(old: &ProcessSettings, new: &ProcessSettings) -> Vec<&'static str> {
    let (fleet, new_fleet) = (&old.fleet, &new.fleet);
    let (retry, new_retry) = (&fleet.retry, &new_fleet.retry);
    let (times, new_times) = (&old.timeouts, &new.timeouts);
    let drain_delay = times.drain_delay != new_times.drain_delay && is_drain_delay_live(old, new);
    changed(&[
        ("log_level", old.log_level != new.log_level),
        ("peer_seeds", old.peer_seeds != new.peer_seeds),
        ("fleet.retry_ratio", retry.ratio != new_retry.ratio),
        ("fleet.retry_slack", retry.slack != new_retry.slack),
        ("fleet.retry_window_ms", retry.span != new_retry.span),
        ("fleet.probe_rate", fleet.probe_rate != new_fleet.probe_rate),
        // Live, since it bounds `leave_ms`, which is live.
        ("fleet.stop_limit_ms", fleet.stop_limit != new_fleet.stop_limit),
        ("peer_secrets", old.peer_secrets != new.peer_secrets),
        ("operator_secrets", old.operator_secrets != new.operator_secrets),
        ("timeouts.head_ms", times.head != new_times.head),
        ("timeouts.caller_idle_ms", times.caller_idle != new_times.caller_idle),
        ("timeouts.body_idle_ms", times.body_idle != new_times.body_idle),
        ("timeouts.connect_ms", times.connect != new_times.connect),
        ("timeouts.upstream_idle_ms", times.upstream_idle != new_times.upstream_idle),
        ("timeouts.platform_ms", times.platform != new_times.platform),
        ("timeouts.peer_ms", times.peer != new_times.peer),
        ("timeouts.leave_ms", drain_delay),
    ])
}

fn restart_fields(old: &ProcessSettings, new: &ProcessSettings) -> Vec<&'static str> {
    let (times, new_times) = (&old.timeouts, &new.timeouts);
    let (fleet, new_fleet) = (&old.fleet, &new.fleet);
    let drain_delay = times.drain_delay != new_times.drain_delay && !is_drain_delay_live(old, new);
    changed(&[
        ("vm_name", old.vm_name != new.vm_name),
        ("interface", old.interface != new.interface),
        ("environment", old.environment != new.environment),
        ("data_centre", old.centre != new.centre),
        ("regions", old.centres != new.centres),
        ("data_centre_latency_ms", old.centre_latency != new.centre_latency),
        ("caller_address", old.caller_address != new.caller_address),
        ("control_address", old.control_address != new.control_address),
        ("metrics_address", old.metrics_address != new.metrics_address),
        ("exchange_address", old.exchange_address != new.exchange_address),
        ("platform_address", old.platform_address != new.platform_address),
        ("worker_count", old.worker_count != new.worker_count),
        ("log_format", old.log_format != new.log_format),
        ("timeouts.leave_ms", drain_delay),
        ("fleet.drain_ms", fleet.drain_limit != new_fleet.drain_limit),
    ])
}

fn changed(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    fields.iter().filter(|(_, differs)| *differs).map(|(name, _)| *name).collect()
}
