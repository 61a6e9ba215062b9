//! Gateway VMs.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// One run of the gateway on one VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmIdentity {
    /// The name of the VM.
    pub name: SharedName,
    /// Grows with each start of the process, so that a restarted VM is told from its predecessor.
    pub incarnation: u64,
    /// The data centre that the VM runs in.
    pub centre: SharedName,
}
