//! Who may call which routes: client accounts with their keys and quotas, public routes, and the
//! regions that may run the calls of an account or a route.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use base::prelude::*;
use sha2::{Digest, Sha256};

use crate::contract::WorkClass;

/// The SHA-256 digest of an account's key. The key itself is kept nowhere, and digests compare
/// without a relation between the time that takes and the key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// How many calls of an account all VMs together may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// Calls per second.
    pub rate: f64,
    /// Calls that may run at once after a time without any.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// Its name, unique in the environment.
    pub name: SharedName,
    /// The class of its calls, or `None` for that of the route.
    pub class: Option<WorkClass>,
    /// Its quota, or `None` without a limit.
    pub quota: Option<AccountQuota>,
    /// The regions that may run its calls; empty means any.
    pub homes: Vec<SharedName>,
}

/// The accounts of an environment, found by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountTable {
    keys: HashMap<KeyDigest, Arc<ClientAccount>>,
    quotas: HashMap<SharedName, AccountQuota>,
}

impl AccountTable {
    /// Returns a table of accounts with their keys.
    ///
    /// # Errors
    ///
    /// Returns the name of the second account with the same key.
    pub fn new(
        accounts: impl IntoIterator<Item = (ClientAccount, Vec<KeyDigest>)>,
    ) -> Result<Self, SharedName> {
        let mut keys: HashMap<KeyDigest, Arc<ClientAccount>> = HashMap::new();
        let mut quotas = HashMap::new();
        for (account, digests) in accounts {
            quotas.extend(account.quota.map(|quota| (account.name.clone(), quota)));
            let account = Arc::new(account);
            for digest in digests {
                let holder = keys.insert(digest, Arc::clone(&account));
                if holder.is_some_and(|holder| holder.name != account.name) {
                    return Err(account.name.clone());
                }
            }
        }
        Ok(Self { keys, quotas })
    }

    /// Returns the quota of an account, or `None` if the account is unknown or has no limit.
    pub fn quota(&self, account: &str) -> Option<AccountQuota> {
        self.quotas.get(account).copied()
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.keys.get(key)
    }
}

/// Who may call, and where calls may run. The default restricts nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessRules {
    /// The accounts, or `None` if calls need no key.
    pub accounts: Option<AccountTable>,
    /// The names of the routes that need no key.
    pub public_routes: HashSet<SharedName>,
    /// The regions that may run the calls of a route, by its name. Other routes have no limit.
    pub route_homes: HashMap<SharedName, Vec<SharedName>>,
}

/// What the key of a request means.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// The environment has no accounts.
    NotNeeded,
    /// The route is public and the request has no known key.
    Public,
    /// The key belongs to this account.
    Account(Arc<ClientAccount>),
    /// There is no key, or no account has it.
    Unknown,
}

impl AccessRules {
    /// Decides on the key of a request for `route`, or `None` if no route matches.
    pub fn check_key(&self, key: Option<&KeyDigest>, route: Option<&str>) -> KeyVerdict {
        let Some(accounts) = &self.accounts else { return KeyVerdict::NotNeeded };
        let is_public = route.is_some_and(|route| self.public_routes.contains(route));
        match key.and_then(|key| accounts.find(key)) {
            Some(account) => KeyVerdict::Account(Arc::clone(account)),
            None if is_public => KeyVerdict::Public,
            None => KeyVerdict::Unknown,
        }
    }

    /// Returns whether `region` may run calls of a route and an account.
    pub fn allows_region(
        &self,
        route: Option<&str>,
        account: Option<&ClientAccount>,
        region: &str,
    ) -> bool {
        let allows =
            |homes: &Vec<SharedName>| homes.is_empty() || homes.iter().any(|home| *home == *region);
        route.and_then(|route| self.route_homes.get(route)).is_none_or(allows)
            && account.map(|account| &account.homes).is_none_or(allows)
    }
}
