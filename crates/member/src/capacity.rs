//! The number of VMs needed for a load.

/// A load and the capacity of one VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPlan {
    /// Calls a second over all VMs.
    pub calls_per_second: f64,
    /// Calls a second that one VM sustains.
    pub vm_calls_per_second: f64,
    /// Share of a VM's capacity to use, `0.0..1.0`.
    pub target_load: f64,
    /// Number of data centres, one of which may fail.
    pub centres: u32,
}

impl CapacityPlan {
    /// The load expected in two years, on VMs that sustain 4,000 calls a second.
    pub const TARGET: Self = Self {
        calls_per_second: 250_000.0,
        vm_calls_per_second: 4_000.0,
        target_load: 0.7,
        centres: 4,
    };

    /// Returns the VMs needed so that the load fits after one data centre has failed, rounded up
    /// to the same number in each data centre.
    pub fn vm_count(&self) -> u32 {
        let busy = self.calls_per_second / (self.vm_calls_per_second * self.target_load);
        let surviving = self.centres.saturating_sub(1).max(1);
        let per_centre = (busy / f64::from(surviving)).ceil() as u32;
        per_centre * self.centres
    }
}
