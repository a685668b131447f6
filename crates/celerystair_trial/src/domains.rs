//! Losing a whole failure domain at once, and having it back as new instances.

use celerystair_core::prelude::*;

use crate::{
    faults::FaultFleet,
    fleet::{FleetError, router_domain, set_instance_state},
    network::CutKind,
};

impl FaultFleet {
    /// Ends all agents, engines, services and routers of a failure domain at one instant, as a
    /// loss of power does: nobody else is told, and connections there stay open at the far end.
    pub fn lose_domain(&mut self, domain: &str) {
        self.network.cut(&[domain], CutKind::Silent);
        let agents = self.agents_in(domain);
        let routers = self.routers_in(domain);
        let mut lost = Vec::new();
        lost.extend(agents.iter().map(|index| self.agents[*index].thread.take()));
        lost.extend(
            routers
                .iter()
                .map(|index| self.routers[*index].thread.take()),
        );
        let known = self.domains.iter_mut().filter(|d| &*d.name == domain);
        lost.extend(known.map(|domain| domain.standins.take()));
        for thread in lost.iter().flatten() {
            thread.stop.end();
        }
    }

    /// Takes the instances of a failure domain off the platform's list.
    pub async fn delist_instances(&self, domain: &str) -> Result<(), FleetError> {
        for index in self.agents_in(domain) {
            let instance = &self.upstreams[index].instance;
            set_instance_state(&self.client, &self.platform_url, instance, "gone").await?;
        }
        Ok(())
    }

    /// Starts a lost failure domain anew: the same upstreams as new instances, at other
    /// addresses, and the routers.
    pub async fn restore_domain(&mut self, domain: &str) -> Result<(), FleetError> {
        self.network.heal();
        for index in self.agents_in(domain) {
            let upstream = &mut self.upstreams[index];
            upstream.instance = next_life(&upstream.instance);
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

    /// The revision of the configuration in force at each process of these failure domains.
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

    /// Whether a process had a revision in force after a higher one.
    pub fn has_reverted(&self) -> bool {
        let mut roles = self.agents.iter().chain(&self.routers);
        roles.any(|role| !role.revisions().is_sorted())
    }

    /// The agents of a failure domain.
    pub fn agents_in(&self, domain: &str) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        let there = upstreams.filter(|(_, upstream)| &*upstream.failure_domain == domain);
        there.map(|(index, _)| index).collect()
    }

    /// The routers of a failure domain.
    pub fn routers_in(&self, domain: &str) -> Vec<usize> {
        let routers = 0..self.settings.routers;
        let there = routers.filter(|index| &**router_domain(&self.settings, index + 1) == domain);
        there.map(|index| index as usize).collect()
    }
}

/// The instance that takes the place of one whose name ends in the number of its life.
fn next_life(instance: &InstanceId) -> InstanceId {
    let (name, life) = instance.rsplit_once('.').unwrap_or((instance, "1"));
    let life: u64 = life.parse().unwrap_or(1);
    format!("{name}.{}", life + 1).into()
}
