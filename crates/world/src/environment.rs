//! One immutable snapshot of an environment.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;

use crate::centre::{DataCentre, LinkCost};
use crate::contract::ServiceContract;
use crate::upstream::UpstreamServer;

/// A version of the environment's document in the form that requests use.
#[derive(Clone, Debug, PartialEq)]
pub struct EnvironmentMap {
    /// The name of the environment.
    pub name: SharedName,
    /// The version, which only grows.
    pub version: u64,
    /// The digest of the document.
    pub digest: SharedName,
    /// The data centres.
    pub centres: Vec<DataCentre>,
    /// The links between data centres.
    pub links: Vec<LinkCost>,
    /// The contracts, in order of precedence.
    pub contracts: Vec<Arc<ServiceContract>>,
    /// The upstreams of each service.
    pub upstreams: HashMap<SharedName, Vec<Arc<UpstreamServer>>>,
}

impl EnvironmentMap {
    /// Returns the first contract that covers `host` and `path`.
    pub fn contract_for(&self, host: &str, path: &str) -> Option<&Arc<ServiceContract>> {
        self.contracts.iter().find(|contract| contract.covers(host, path))
    }

    /// Returns the contract of a service.
    pub fn contract(&self, service: &str) -> Option<&Arc<ServiceContract>> {
        self.contracts.iter().find(|contract| contract.name == *service)
    }

    /// Returns the upstreams of a service.
    pub fn upstreams_of(&self, service: &str) -> &[Arc<UpstreamServer>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the round trip between two data centres, zero within one, or `None` if the
    /// document names no link.
    pub fn round_trip(&self, from: &str, to: &str) -> Option<ClockSpan> {
        if from == to {
            return Some(ClockSpan::ZERO);
        }
        self.links.iter().find(|link| link.joins(from, to)).map(LinkCost::round_trip)
    }
}
