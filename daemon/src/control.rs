//! The control plane of a scheduler: it follows the node list, the other schedulers and new configurations.
//! The data plane (fronts, storage connections, the admin API) depends on it, never the reverse: many of
//! these can run in one process, each with a configuration of its own and without a listener for clients.
//!
//! Guards against a revision that is reported as active before it is: [`ActiveRevisions`] changes only once
//! the core has applied it.

use crate::config::Config;
use crate::configuration::ConfigurationApplier;
use crate::discovery::{self, ListSink, WatchPacing};
use crate::discovery_address::DiscoveryAddress;
use crate::maintenance::SchedulerActions;
use crate::membership;
use crate::reload::Reload;
use crate::service_state::ServiceState;
use crate::start_error::StartError;
use pointcross_config_distribution::{ApplyConfiguration, FollowerSettings, Status};
use pointcross_coordination::driver::{Bound, Peers};
use pointcross_core::decide::ListKind;
use pointcross_core::{AdmissionGuard, Core};
use pointcross_membership::call_rate::CallRateLimiter;
use pointcross_membership::decide::Effects;
use pointcross_membership::guard::MembershipGuard;
use pointcross_membership::slow_start::SlowStart;
use pointcross_membership::slow_start_guard::SlowStartGuard;
use std::sync::Arc;
use tokio::sync::watch;

/// The revisions that the core has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveRevisions {
    /// The node list's revision; 0 before any.
    pub list: u64,
    /// The carried configuration's version; 0 while only the scheduler's own files are active.
    pub configuration: u64,
}

/// Publishes applied revisions to subscribers and in the log. Other processes parse the log's texts and
/// target.
#[derive(Clone)]
pub(crate) struct RevisionPublisher(Arc<watch::Sender<ActiveRevisions>>);

impl RevisionPublisher {
    pub(crate) fn publish_list(&self, revision: u64) {
        if self.modify(|now| now.list = revision) {
            tracing::debug!(target: "pointcross::in_force", "list revision={revision}");
        }
    }

    pub(crate) fn publish_configuration(&self, version: u64) {
        if self.modify(|now| now.configuration = version) {
            tracing::debug!(target: "pointcross::in_force", "configuration version={version}");
        }
    }

    fn modify(&self, change: impl FnOnce(&mut ActiveRevisions)) -> bool {
        self.0.send_if_modified(|now| {
            let before = *now;
            change(now);
            *now != before
        })
    }
}

/// The control plane of one scheduler.
pub struct Control {
    config: Config,
    core: Arc<Core>,
    discovery_address: Arc<DiscoveryAddress>,
    /// The sources of the carried configuration and its published status, where the operator's file names
    /// them.
    follower: Option<(FollowerSettings, watch::Sender<Status>)>,
    /// The other schedulers, where the operator's file names them.
    peers: Option<Bound>,
    /// Decides on membership, where the operator's file turns it on.
    membership_guard: Option<Arc<MembershipGuard>>,
    initial_list: InitialList,
    /// Whether the decision module asks for the list. Subscribed before the core has any list, since the
    /// first request may come with that.
    list_requests: watch::Receiver<bool>,
    revisions: RevisionPublisher,
}

/// The node list that the core starts with.
enum InitialList {
    /// The list of the platform's file.
    Known,
    /// What membership decided on the saved and the known list.
    Restored(Effects),
    /// The core has it already.
    Applied,
}

impl Control {
    /// Builds the core and joins the other schedulers; no call goes out before [`Control::run`].
    ///
    /// # Errors
    /// What could not be opened, with its key.
    pub async fn bind(config: Config) -> Result<Control, StartError> {
        let core = Core::new(config.parsed.decide.clone(), config.seed)?;
        let membership_guard =
            config.membership.as_ref().map(|settings| membership::restore(settings, &config, core.now()));
        let (membership_guard, initial_list) = match membership_guard {
            Some((membership_guard, effects)) => (Some(membership_guard), InitialList::Restored(effects)),
            None => (None, InitialList::Known),
        };
        let before =
            membership_guard.clone().map(|membership_guard| membership_guard as Arc<dyn AdmissionGuard>);
        let guard = match config.ramp {
            Some(rules) => {
                let hosts = config.parsed.decide.hosts;
                let ramp = SlowStart::new(rules, hosts, config.seed, &config.name);
                Some(SlowStartGuard::new(ramp, before) as Arc<dyn AdmissionGuard>)
            }
            None => before,
        };
        let core = Arc::new(match guard {
            Some(guard) => core.guarded(guard),
            None => core,
        });
        if let Some(membership_guard) = &membership_guard {
            membership_guard.attach(&core);
        }
        let discovery_address = Arc::new(DiscoveryAddress::new(config.discovery));
        let status = watch::channel(Status::default()).0;
        let follower = config.configuration.clone().map(|settings| (settings, status));
        let peers = match &config.maintenance {
            None => None,
            Some(settings) => Some(Bound::start(settings.clone()).await?),
        };
        let (list_requests, revisions) = (
            core.list_subscription(),
            RevisionPublisher(Arc::new(watch::channel(ActiveRevisions::default()).0)),
        );
        Ok(Control {
            config,
            core,
            discovery_address,
            follower,
            peers,
            membership_guard,
            initial_list,
            list_requests,
            revisions,
        })
    }

    /// The core.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Applies new configurations while [`Control::run`] runs.
    pub fn reload(&self) -> Reload {
        Reload::new(self.config.clone(), self.discovery_address.clone())
    }

    /// The active revisions, now and from now on.
    pub fn active_revisions(&self) -> watch::Receiver<ActiveRevisions> {
        self.revisions.0.subscribe()
    }

    /// The state of the carried configuration, where one is followed.
    pub fn configuration_status(&self) -> Option<watch::Receiver<Status>> {
        self.follower.as_ref().map(|(_, status)| status.subscribe())
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    pub(crate) fn membership_guard(&self) -> Option<&Arc<MembershipGuard>> {
        self.membership_guard.as_ref()
    }

    pub(crate) fn peers(&self) -> Option<Arc<Peers>> {
        self.peers.as_ref().map(Bound::peers)
    }

    /// Gives the core the bans that the schedulers agreed on, then the list as it was last known. A second
    /// call does nothing; a data plane that must find a list calls it before [`Control::run`].
    pub(crate) fn start(&mut self) {
        let initial_list = std::mem::replace(&mut self.initial_list, InitialList::Applied);
        if let (Some(peers), InitialList::Known | InitialList::Restored(_)) = (&self.peers, &initial_list) {
            self.core.restore_bans(peers.cordoned_nodes());
        }
        match (initial_list, &self.membership_guard) {
            (InitialList::Known, _) => {
                self.core.list(ListKind::Cached, self.config.known.members.clone());
                if self.config.known.complete {
                    self.revisions.publish_list(self.config.known.revision);
                }
            }
            (InitialList::Restored(effects), Some(membership_guard)) => membership_guard.start(effects),
            _ => {}
        }
    }

    /// Follows the list, the carried configuration and the other schedulers, whose plan changes `service`,
    /// and runs the core's timers. Never ends by itself; dropped, it leaves the core as it is.
    pub async fn run(mut self, service: ServiceState) {
        self.start();
        let Control {
            config,
            core,
            discovery_address,
            follower,
            peers,
            membership_guard,
            mut list_requests,
            revisions,
            ..
        } = self;
        let actions = SchedulerActions::new(core.clone(), service);
        let coordination = async move {
            match peers {
                Some(peers) => peers.run(actions).await,
                None => std::future::pending().await,
            }
        };
        let (publisher, base) = (revisions.clone(), config.parsed.clone());
        let mut address = discovery_address.subscribe();
        let applier = ConfigurationApplier {
            base,
            core: core.clone(),
            discovery_address,
            on_applied: Box::new(move |version| publisher.publish_configuration(version)),
        };
        let configuration_watch = async move {
            match follower {
                Some((settings, status)) => {
                    let applier: Arc<dyn ApplyConfiguration> = Arc::new(applier);
                    pointcross_config_distribution::driver::follow(settings, applier, status).await;
                }
                None => std::future::pending().await,
            }
        };
        let known = &config.known;
        let pacing = config.list_calls.map(|calls| {
            let holds = !known.members.is_empty();
            let limiter = CallRateLimiter::new(calls.rules, config.seed, &config.name, core.now(), holds);
            WatchPacing { limiter, hold: calls.hold }
        });
        let on_applied = |revision| revisions.publish_list(revision);
        let sink =
            ListSink { core: &core, membership_guard: membership_guard.as_deref(), on_applied: &on_applied };
        let list_watch =
            discovery::follow(sink, &config.parsed.zones, known, &mut list_requests, &mut address, pacing);
        tokio::select! {
            () = core.run_timers() => {}
            () = list_watch => {}
            () = coordination => {}
            () = configuration_watch => {}
        }
    }
}
