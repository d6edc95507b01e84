//! Lanes: threads that own the connections to agents, each agent belonging to one lane.

mod agent_calls;
mod agent_link;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::thread::JoinHandle;

use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::inbox::{Inbox, LaneCommand};
use agent_link::AgentLink;

/// The lanes of an entry.
#[derive(Debug)]
pub(crate) struct Lanes {
    lanes: Vec<mpsc::UnboundedSender<Vec<LaneCommand>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Lanes {
    /// Starts one thread per lane, and at least one.
    pub(crate) fn start(
        count: u16,
        identity: &Identity,
        inbox: &Inbox,
    ) -> Result<Self, std::io::Error> {
        let mut lanes = Vec::new();
        let mut threads = Vec::new();
        for index in 0..count.max(1) {
            let (sender, commands) = mpsc::unbounded_channel();
            let (identity, inbox) = (identity.clone(), inbox.clone());
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_io()
                .enable_time()
                .build()?;
            let thread = std::thread::Builder::new()
                .name(format!("entry-lane-{index}"))
                .spawn(move || {
                    let lane = Lane::new(identity, inbox);
                    LocalSet::new().block_on(&runtime, lane.run(commands));
                })?;
            lanes.push(sender);
            threads.push(thread);
        }
        Ok(Self { lanes, threads })
    }

    pub(crate) fn count(&self) -> usize {
        self.lanes.len()
    }

    /// The lane that owns the connection to an agent.
    pub(crate) fn lane_of(&self, agent: Incarnation) -> usize {
        (agent.0 % self.lanes.len() as u64) as usize
    }

    /// Sends commands to a lane.
    pub(crate) fn send(&self, lane: usize, commands: Vec<LaneCommand>) {
        // The receiver lives until `join` drops this sender, unless the thread has panicked.
        drop(self.lanes[lane].send(commands));
    }

    /// Closes every connection and joins the threads.
    pub(crate) fn join(self) {
        drop(self.lanes);
        for thread in self.threads {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    }
}

/// The state of one lane, owned by its thread.
struct Lane {
    identity: Rc<Identity>,
    inbox: Inbox,
    links: RefCell<HashMap<Incarnation, AgentLink>>,
}

impl Lane {
    fn new(identity: Identity, inbox: Inbox) -> Self {
        Self {
            identity: Rc::new(identity),
            inbox,
            links: RefCell::default(),
        }
    }

    async fn run(self, mut commands: mpsc::UnboundedReceiver<Vec<LaneCommand>>) {
        while let Some(batch) = commands.recv().await {
            for command in batch {
                self.handle_command(command);
            }
        }
        let links = self.links.take();
        for (_, link) in links {
            link.close().await;
        }
    }

    fn handle_command(&self, command: LaneCommand) {
        match command {
            LaneCommand::Connect(agent, address) => {
                let link = AgentLink::open(
                    agent,
                    address,
                    Rc::clone(&self.identity),
                    self.inbox.clone(),
                );
                self.links.borrow_mut().insert(agent, link);
            }
            LaneCommand::Disconnect(agent) => {
                if let Some(link) = self.links.borrow_mut().remove(&agent) {
                    tokio::task::spawn_local(link.close());
                }
            }
            LaneCommand::Start(agent, spec) => self.with_link(agent, |link| link.start(*spec)),
            LaneCommand::Want(agent, count) => self.with_link(agent, |link| link.want(count)),
            LaneCommand::Cancel(agent, requests) => {
                self.with_link(agent, |link| link.cancel(requests));
            }
            LaneCommand::Fence(agent, submission, epoch) => {
                self.with_link(agent, |link| link.fence(submission, epoch));
            }
        }
    }

    fn with_link(&self, agent: Incarnation, send: impl FnOnce(&AgentLink)) {
        match self.links.borrow().get(&agent) {
            Some(link) => send(link),
            None => send(&AgentLink::disconnected(agent, self.inbox.clone())),
        }
    }
}
