//! The links of this VM to all upstreams. A link is the connections of this VM to one upstream.
//!
//! Depends on [`crate::link`].

use std::sync::Arc;

use arc_swap::ArcSwap;
use base::prelude::*;
use limit::prelude::ConnectionShare;
use world::prelude::*;

use crate::link::UpstreamLink;

/// The links to all upstreams, by the name of the upstream.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: ArcSwap<NameMap<Arc<UpstreamLink>>>,
}

impl LinkTable {
    /// Adds links to new upstreams and drops those to removed ones. `share` returns the most
    /// connections that this VM may open to an upstream.
    pub fn apply(
        &self,
        environment: &EnvironmentMap,
        share: impl Fn(&UpstreamServer) -> ConnectionShare,
    ) {
        let known = self.links.load();
        let links = environment.upstreams.values().flatten().map(|server| {
            let share = share(server);
            let kept = known.get(&server.name).filter(|link| link.serves(server));
            let link = match kept {
                Some(link) => {
                    link.set_share(share);
                    Arc::clone(link)
                }
                None => Arc::new(UpstreamLink::new(Arc::clone(server), share)),
            };
            (server.name.clone(), link)
        });
        self.links.store(Arc::new(links.collect()));
    }

    /// Returns the link to an upstream.
    pub fn link(&self, upstream: &str) -> Option<Arc<UpstreamLink>> {
        self.links.load().get(upstream).cloned()
    }

    /// Returns all links.
    pub fn all(&self) -> Vec<Arc<UpstreamLink>> {
        self.links.load().values().cloned().collect()
    }
}
