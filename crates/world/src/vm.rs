//! Gateway VMs.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A gateway process on one VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmIdentity {
    /// The name of the VM.
    pub name: SharedName,
    /// Increases with each start of the process, which distinguishes a restarted one from its
    /// predecessor.
    pub incarnation: u64,
    /// The data centre that the VM runs in.
    pub centre: SharedName,
}
