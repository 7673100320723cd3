//! Injects the faults of a scenario.

use super::network::{DatagramFaults, Participant};
use super::process::Process;
use super::run::ChaosRun;
use super::scenario::{Fault, TimedFault};
use crate::fleet::NodeBehavior;
use std::rc::Rc;

/// Seconds until a coordinator has noticed a changed endpoint list: the interval at which it polls its files.
const LIST_POLL_SECONDS: f64 = 0.25;

impl ChaosRun {
    /// Injects a fault now and records it in the history.
    pub(super) async fn inject(self: &Rc<Self>, fault: Fault) {
        self.record_fault(fault.clone());
        match &fault {
            Fault::Partition { members, nodes } => {
                let members = members.iter().map(|&member| Participant::Member(member));
                let nodes = nodes.iter().map(|&node| Participant::Node(node));
                self.network.partition(members.chain(nodes).collect());
            }
            Fault::Mute { members } => self.network.mute(members),
            Fault::Heal => self.network.heal(),
            &Fault::Loss {
                loss,
                duplication,
                delay_ms,
            } => self.network.set_datagram_faults(DatagramFaults {
                loss,
                duplication,
                delay_ms,
            }),
            Fault::Reset { members } => {
                for &member in members {
                    self.network.reset_connections(member);
                }
            }
            Fault::Stop { members } => self.signal(members, "STOP"),
            Fault::Resume { members } => self.signal(members, "CONT"),
            Fault::Reload { members } => self.signal(members, "HUP"),
            Fault::Kill { members } => self.kill(members).await,
            Fault::Start { members } => {
                for &member in members {
                    self.clone().start_member(member).await;
                }
            }
            Fault::Restart { members } => self.restart(members).await,
            Fault::Remove { nodes } => self.remove_nodes(nodes),
            Fault::WrongValues { nodes } => {
                for &node in nodes {
                    let behavior = NodeBehavior::WrongValues;
                    if let Err(error) = self.fleet.set_behavior(node, behavior).await {
                        self.record_error(error);
                    }
                }
            }
        }
    }

    fn record_fault(&self, fault: Fault) {
        let at = self.now();
        self.history
            .borrow_mut()
            .faults
            .push(TimedFault { at, fault });
    }

    fn signal(&self, members: &[usize], name: &str) {
        let processes = self.processes.borrow();
        for process in members.iter().filter_map(|member| processes.get(member)) {
            process.signal(name);
        }
    }

    /// Removes a coordinator's process from the run, so that it gets no new clients, and returns it.
    fn take_process(&self, member: usize) -> Option<Process> {
        self.fronts.borrow_mut().remove(&member);
        self.processes.borrow_mut().remove(&member)
    }

    async fn kill(&self, members: &[usize]) {
        for &member in members {
            let process = self.take_process(member);
            if let Some(process) = process {
                process.kill().await;
            }
        }
    }

    async fn restart(self: &Rc<Self>, members: &[usize]) {
        for &member in members {
            // Clients see from the health endpoint that the process is stopping; their open requests continue.
            let process = self.take_process(member);
            if let Some(process) = process {
                if let Err(error) = process.stop().await {
                    self.record_error(error);
                }
            }
            self.clone().start_member(member).await;
        }
        // Membership views have to become correct again within the settling time after the last start.
        self.record_fault(Fault::Start {
            members: members.to_vec(),
        });
    }

    fn remove_nodes(&self, nodes: &[usize]) {
        self.removed_nodes.borrow_mut().extend(nodes);
        for member in 0..self.scenario.coordinators {
            if let Err(error) = self.write_endpoint_list(member) {
                self.record_error(error);
            }
        }
        let known_at = self.fleet.now() + LIST_POLL_SECONDS;
        let mut run_log = self.fleet.run_log.borrow_mut();
        let removed = nodes.iter().map(|&node| (node, known_at));
        run_log.removed_at.extend(removed);
    }
}
