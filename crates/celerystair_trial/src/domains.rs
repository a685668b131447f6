//! Failure of a whole failure domain at once, and its recovery with new instances.

use celerystair_core::prelude::*;

use crate::{
    faults::FaultFleet,
    fleet::{FleetError, router_domain, set_instance_state},
    network::CutKind,
};

impl FaultFleet {
    /// Stops all agents, engines, services and routers of a failure domain at once, as a loss of
    /// power does: the other domains are not notified, and their connections to it stay open.
    pub fn lose_domain(&mut self, domain: &str) {
        self.network.cut(&[domain], CutKind::Silent);
        let agents = self.agents_in(domain);
        let routers = self.routers_in(domain);
        let mut stopped_threads = Vec::new();
        stopped_threads.extend(agents.iter().map(|index| self.agents[*index].thread.take()));
        stopped_threads.extend(
            routers
                .iter()
                .map(|index| self.routers[*index].thread.take()),
        );
        let matching = self.domains.iter_mut().filter(|d| &*d.name == domain);
        stopped_threads.extend(matching.map(|domain| domain.standins.take()));
        for thread in stopped_threads.iter().flatten() {
            thread.stop.end();
        }
    }

    /// Removes the instances of a failure domain from the platform's list.
    pub async fn delist_instances(&self, domain: &str) -> Result<(), FleetError> {
        for index in self.agents_in(domain) {
            let instance = &self.upstreams[index].instance;
            set_instance_state(&self.client, &self.platform_url, instance, "gone").await?;
        }
        Ok(())
    }

    /// Restarts a failed failure domain: the same upstreams on new instances with other addresses,
    /// their agents, and the routers. Heals all partitions.
    pub async fn restore_domain(&mut self, domain: &str) -> Result<(), FleetError> {
        self.network.heal();
        for index in self.agents_in(domain) {
            let upstream = &mut self.upstreams[index];
            upstream.instance = next_instance(&upstream.instance);
        }
        let position = self.domains.iter().position(|d| &*d.name == domain);
        if let Some(position) = position {
            self.start_upstreams(position).await?;
        }
        for index in self.agents_in(domain) {
            self.agents[index] = self.start_agent(index)?;
        }
        for index in self.routers_in(domain) {
            self.routers[index] = self.start_router(index)?;
        }
        Ok(())
    }

    /// Returns the last applied revision of the configuration of each process in these failure
    /// domains; 0 if it has applied none.
    pub fn revisions_in(&self, domains: &[&str]) -> Vec<u64> {
        let mut revisions = Vec::new();
        for domain in domains {
            let agents = self.agents_in(domain).into_iter().map(|i| &self.agents[i]);
            let routers = self
                .routers_in(domain)
                .into_iter()
                .map(|i| &self.routers[i]);
            let last = agents
                .chain(routers)
                .map(|role| role.revisions().last().copied());
            revisions.extend(last.map(Option::unwrap_or_default));
        }
        revisions
    }

    /// Returns whether any process has applied a revision after a higher one.
    pub fn has_reverted(&self) -> bool {
        let mut roles = self.agents.iter().chain(&self.routers);
        roles.any(|role| !role.revisions().is_sorted())
    }

    /// Returns the indices of the agents in a failure domain.
    pub fn agents_in(&self, domain: &str) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        let in_domain = upstreams.filter(|(_, upstream)| &*upstream.failure_domain == domain);
        in_domain.map(|(index, _)| index).collect()
    }

    /// Returns the indices of the routers in a failure domain.
    pub fn routers_in(&self, domain: &str) -> Vec<usize> {
        let routers = 0..self.settings.routers;
        let in_domain =
            routers.filter(|index| &**router_domain(&self.settings, index + 1) == domain);
        in_domain.map(|index| index as usize).collect()
    }
}

/// Returns the name of the instance that replaces `instance`: names end in an incarnation number.
fn next_instance(instance: &InstanceId) -> InstanceId {
    let (name, incarnation) = instance.rsplit_once('.').unwrap_or((instance, "1"));
    let incarnation: u64 = incarnation.parse().unwrap_or(1);
    format!("{name}.{}", incarnation + 1).into()
}
