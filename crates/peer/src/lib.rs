//! Messages between VMs.
