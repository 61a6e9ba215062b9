//! Immutable strings that are shared instead of copied.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use foldhash::fast::RandomState;
use serde::{Deserialize, Serialize};

/// A hash map whose keys are names of services, upstreams or VMs. A call looks up about 30 names,
/// for which the hash function of the standard library took 4% of its instructions. Names come from
/// the configuration and the store; for keys that callers choose, use the standard `HashMap`, whose
/// hash function resists collision attacks.
pub type NameMap<V> = HashMap<SharedName, V, RandomState>;

/// The name of a VM, data centre, service or upstream, or the key of a row or request.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(from = "String", into = "String")]
pub struct SharedName(Arc<str>);

impl SharedName {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Deref for SharedName {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for SharedName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SharedName {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for SharedName {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl From<SharedName> for String {
    fn from(name: SharedName) -> Self {
        name.as_str().to_owned()
    }
}

impl PartialEq<str> for SharedName {
    fn eq(&self, other: &str) -> bool {
        self.as_str() == other
    }
}

impl PartialEq<&str> for SharedName {
    fn eq(&self, other: &&str) -> bool {
        self.as_str() == *other
    }
}

impl fmt::Display for SharedName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self)
    }
}

impl fmt::Debug for SharedName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), formatter)
    }
}
