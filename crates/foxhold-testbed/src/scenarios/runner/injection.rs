//! Injection of a scenario's faults.

use super::discovery::DiscoveryChange;
use super::{fault_links, number_of, ScenarioRun, DISCOVERY_DELAY_S};
use crate::faults::peer_network::{call, LinkConditions};
use crate::faults::relay::LinkFault;
use crate::load::clients::{object, DirectorTarget, PurgeRecord};
use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::{Fault, FaultKind, RuleBreach};
use crate::servers::emulated::{unix_ms, ServerCommand};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of object groups on the platform.
const GROUPS: f64 = 32.0;
/// Delay in seconds until a server drops purged objects, drawn for each server and purge.
const PURGE_DELAY_S: std::ops::Range<f64> = 0.1..4.0;

/// Whether a step starts or ends a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Begins,
    Ends,
}

/// A step of the fault schedule, at a time in seconds of load.
struct Step {
    at: f64,
    fault: Fault,
    phase: Phase,
}

impl ScenarioRun {
    /// Injects the scenario's faults at their times after `zero`, the start of the load.
    pub(super) async fn inject_faults(self: Rc<Self>, zero: Instant) {
        let mut schedule: Vec<Step> = Vec::new();
        for fault in &self.scenario.faults {
            schedule.push(Step { at: fault.at, fault: fault.clone(), phase: Phase::Begins });
            let end = |lasts| Step { at: fault.at + lasts, fault: fault.clone(), phase: Phase::Ends };
            schedule.extend(fault.lasts.map(end));
        }
        schedule.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut steps = tokio::task::JoinSet::new();
        for Step { at, fault, phase } in schedule {
            tokio::time::sleep_until((zero + Duration::from_secs_f64(at)).into()).await;
            let run = Rc::clone(&self);
            // Concurrently: a restart of a hundred processes must not delay the next step.
            steps.spawn_local(async move {
                if let Err(error) = run.inject(&fault, phase).await {
                    run.seen.borrow_mut().panics.push(format!("fault at {at} s: {error}"));
                }
            });
            while steps.try_join_next().is_some() {}
        }
        while steps.join_next().await.is_some() {}
    }

    async fn inject(self: &Rc<Self>, fault: &Fault, phase: Phase) -> Result<(), TestbedError> {
        let names: Vec<String> = self.scenario.resolve(&fault.who).unwrap_or_default().into_iter().collect();
        match (fault.kind, phase) {
            (FaultKind::Kill, Phase::Begins) => self.kill(fault, &names).await?,
            (FaultKind::Kill, Phase::Ends) | (FaultKind::Join, Phase::Begins) => self.restart(&names).await?,
            (FaultKind::Stall, _) => self.stall(&names, phase),
            (FaultKind::Link, _) => self.set_links(fault, phase),
            (FaultKind::Purge, Phase::Begins) => self.purge(fault).await?,
            (FaultKind::Drain, Phase::Begins) => self.drain(fault, names).await?,
            (FaultKind::Undrain, Phase::Begins) => self.undrain(fault, names).await?,
            (FaultKind::GossipLink, _) => self.set_gossip_links(fault, phase),
            (FaultKind::Plant, Phase::Begins) => self.plant(fault, names).await,
            (FaultKind::Slow, _) => self.slow_down(fault, names, phase).await,
            // Bursts and hot objects are part of the load; the others have no end step.
            (FaultKind::Hot | FaultKind::Burst, _)
            | (
                FaultKind::Join | FaultKind::Purge | FaultKind::Drain | FaultKind::Undrain | FaultKind::Plant,
                Phase::Ends,
            ) => {}
        }
        Ok(())
    }

    async fn kill(self: &Rc<Self>, fault: &Fault, names: &[String]) -> Result<(), TestbedError> {
        for name in names {
            self.disturb(name);
            let process = self.participants[name].process.borrow_mut().take();
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        if fault.lasts.is_none() {
            return self.restart(names).await;
        }
        self.publish_phase(names, "terminated", 0).await;
        Ok(())
    }

    fn stall(&self, names: &[String], phase: Phase) {
        let signal = if phase == Phase::Begins { Signal::STOP } else { Signal::CONT };
        for name in names {
            self.disturb(name);
            self.with_target(name, |target| target.stopped.set(phase == Phase::Begins));
            if let Some(process) = self.participants[name].process.borrow_mut().as_mut() {
                process.signal(signal);
            }
        }
    }

    fn set_links(&self, fault: &Fault, phase: Phase) {
        for pair in fault_links(&self.scenario, fault) {
            if let Some(link) = self.links.borrow().get(&pair) {
                link.set(if phase == Phase::Begins { fault.link_fault } else { LinkFault::None });
            }
            if pair.1 == "board" {
                self.with_target(&pair.0, |target| target.hears_late.set(true));
            }
        }
    }

    async fn drain(&self, fault: &Fault, names: Vec<String>) -> Result<(), TestbedError> {
        for name in names {
            match &fault.by {
                Some(by) => self.admin_command(by, &format!("drain {name}")).await?,
                None => {
                    let (name, phase) = (name.clone(), "terminating");
                    self.publish(DiscoveryChange::Member { name, phase, since: 0 });
                }
            }
            self.command(&name, &ServerCommand::Drain).await;
        }
        Ok(())
    }

    async fn undrain(&self, fault: &Fault, names: Vec<String>) -> Result<(), TestbedError> {
        for name in names {
            self.command(&name, &ServerCommand::Undrain).await;
            if let Some(by) = &fault.by {
                self.admin_command(by, &format!("undrain {name}")).await?;
            }
        }
        Ok(())
    }

    fn set_gossip_links(&self, fault: &Fault, phase: Phase) {
        let faulty = LinkConditions { loss: fault.lost, duplication: 0.0, delay_ms: fault.late_ms };
        for (a, b) in fault_links(&self.scenario, fault).into_iter().filter(|(a, b)| a != b) {
            let (Some(from), Some(to)) = (number_of(&a), number_of(&b)) else { continue };
            if let Some(relays) = self.gossip_relays.borrow().as_ref() {
                let conditions = if phase == Phase::Begins { faulty } else { LinkConditions::default() };
                relays.net.set(from, to, conditions);
                relays.net.set(to, from, conditions);
            }
            if faulty.loss >= 1.0 {
                self.with_target(&a, |target| target.hears_late.set(true));
                self.with_target(&b, |target| target.hears_late.set(true));
            }
        }
    }

    async fn plant(&self, fault: &Fault, names: Vec<String>) {
        for name in names {
            match fault.breach {
                Some(RuleBreach::SecretDrain) => self.command(&name, &ServerCommand::Drain).await,
                Some(breach) => self.command(&name, &ServerCommand::Plant(breach)).await,
                None => {}
            }
        }
    }

    async fn slow_down(&self, fault: &Fault, names: Vec<String>, phase: Phase) {
        let times = if phase == Phase::Begins { fault.times } else { 1.0 };
        for name in names {
            self.command(&name, &ServerCommand::Slow(times)).await;
        }
    }

    /// Returns the address of a director's admin endpoint, or `None` without gossip.
    pub(super) fn admin_address_of(&self, name: &str) -> Option<SocketAddr> {
        Some(self.gossip_relays.borrow().as_ref()?.admin_address(number_of(name)?))
    }

    /// Sends a command to a director's admin endpoint. The answer must be positive (`YES`).
    async fn admin_command(&self, director: &str, line: &str) -> Result<(), TestbedError> {
        let admin =
            self.admin_address_of(director).ok_or("no admin endpoint: gossip between directors is off")?;
        let answer = call(admin, line).await?;
        if answer.starts_with("YES") {
            Ok(())
        } else {
            Err(format!("{director} rejected '{line}': {answer}").into())
        }
    }

    fn with_target(&self, name: &str, change: impl FnOnce(&DirectorTarget)) {
        if let Some(target) = number_of(name).and_then(|n| self.clients.targets.get(n)) {
            change(target);
        }
    }

    fn disturb(&self, name: &str) {
        self.with_target(name, |target| {
            target.disturbed.borrow_mut().push(Instant::now());
            target.hears_late.set(true);
        });
    }

    /// Restarts participants: directors without state, servers cold and with an empty cache. The discovery
    /// service publishes the servers later.
    async fn restart(self: &Rc<Self>, names: &[String]) -> Result<(), TestbedError> {
        let (directors, servers): (Vec<String>, Vec<String>) =
            names.iter().cloned().partition(|n| n.starts_with("director"));
        for name in &directors {
            self.participants[name].since.set(unix_ms());
        }
        self.start_directors_named(&directors).await?;
        for name in &servers {
            self.start_server(name, true).await?;
        }
        // The address of a server that joins is not known to the others yet.
        for name in self.specs.keys().filter(|_| !servers.is_empty()) {
            self.send_peer_addresses(name).await;
        }
        let since = unix_ms();
        self.publish_phase(&servers, "in_service", since).await;
        Ok(())
    }

    /// Publishes the phase of servers after the discovery delay.
    async fn publish_phase(&self, names: &[String], phase: &'static str, since: u64) {
        let servers: Vec<&String> = names.iter().filter(|n| self.specs.contains_key(*n)).collect();
        if !servers.is_empty() {
            tokio::time::sleep(Duration::from_secs_f64(DISCOVERY_DELAY_S)).await;
        }
        for name in servers {
            self.publish(DiscoveryChange::Member { name: name.clone(), phase, since });
        }
    }

    async fn purge(self: &Rc<Self>, fault: &Fault) -> Result<(), TestbedError> {
        let ms = unix_ms();
        let purged = if fault.object > 0 {
            vec![PurgeRecord { object: Some(object(fault.object)), groups: Vec::new(), ms }]
        } else {
            let groups = 0..(fault.share * GROUPS).round() as u32;
            groups.map(|g| PurgeRecord { object: None, groups: vec![g], ms }).collect()
        };
        self.clients.log.borrow_mut().purges.extend(purged.iter().cloned());
        for purge in &purged {
            let command = match (&purge.object, purge.groups.first()) {
                (Some(object), _) => format!("purge object {object}"),
                (None, group) => format!("purge group {}", group.copied().unwrap_or(0)),
            };
            match &fault.by {
                Some(by) => self.admin_command(by, &command).await?,
                None => self.publish(DiscoveryChange::Purge(purge.clone())),
            }
        }
        // Servers drop the purged copies independently of each other, each after its own delay.
        let mut random = StdRng::seed_from_u64(self.scenario.seed ^ ms);
        for name in self.specs.keys().filter(|n| !n.starts_with("origin")) {
            let (run, name) = (Rc::clone(self), name.clone());
            let (purged, after) = (purged.clone(), random.random_range(PURGE_DELAY_S));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(after)).await;
                for PurgeRecord { object, groups, ms } in purged {
                    run.command(&name, &ServerCommand::Purge { object, groups, ms }).await;
                }
            });
        }
        Ok(())
    }
}
