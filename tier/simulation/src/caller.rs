//! Somebody outside who calls a deployment's machines: programs, operators, followers.

use crate::client::{self, Reply};
use crate::machine::{CONTROL_PORT, FOLLOW_PORT, FRONT_PORT};
use crate::order::{Order, RETENTION};
use crate::size::host_of;
use crate::timeline::Timeline;
use bytes::Bytes;
use http::Request;
use pointcross_tier_protocol::Instance;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply, WatchRequest, WatchUpdate};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::network::Network;
use pointcross_tier_runtime::rpc::Peer;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// How long a caller from outside waits.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// How long a follower waits for an answer that is not held.
const FOLLOW_WITHIN: Duration = Duration::from_millis(200);

/// Somebody outside who calls machines by name.
#[derive(Clone)]
pub struct Caller {
    network: Rc<dyn Network>,
    timeline: Timeline,
    /// How long turns are retained by the configurations that this caller orders.
    retention: Duration,
}

impl Caller {
    /// A caller on this network, who notes what it is told.
    pub(crate) fn new(network: Rc<dyn Network>, timeline: Timeline) -> Self {
        Caller { network, timeline, retention: RETENTION }
    }

    /// The same caller, whose orders say that turns are retained for so long.
    pub fn with_retention(self, retention: Duration) -> Self {
        Caller { retention, ..self }
    }

    /// Calls a machine's control address as the operator.
    pub async fn control(&self, name: &str, request: Request<Bytes>) -> Option<Reply> {
        let address = SocketAddrV4::new(host_of(name), CONTROL_PORT);
        client::call(&self.network, address, request, CALL_WITHIN).await
    }

    /// Sends a configuration with the sample routes to one member. Gives the status of its answer.
    pub async fn configure(&self, name: &str, base: u64, version: u64) -> Option<u16> {
        self.order(name, &Order { base, version, author: 0 }).await
    }

    /// The same with so many bytes more, as a configuration of many routes has them.
    pub async fn configure_padded(&self, name: &str, base: u64, version: u64, padding: usize) -> Option<u16> {
        let order = Order { base, version, author: 0 };
        self.send_order(name, &order, order.body_with_retention(self.retention) + &" ".repeat(padding)).await
    }

    /// Sends an order to one member. Gives the status of its answer.
    pub async fn order(&self, name: &str, order: &Order) -> Option<u16> {
        self.send_order(name, order, order.body_with_retention(self.retention)).await
    }

    async fn send_order(&self, name: &str, order: &Order, body: String) -> Option<u16> {
        let request = Request::post("/pointcross/Configuration.Replace")
            .header("x-base-version", order.base)
            .body(Bytes::from(body))
            .expect("a valid request");
        let status = self.control(name, request).await.map(|reply| reply.status.as_u16());
        let told = status.map_or("no answer".to_owned(), |status| status.to_string());
        self.timeline.note(name, format!("{order}: {told}"));
        status
    }

    /// Asks one member to empty a store. Gives the status of its answer.
    pub async fn retire(&self, name: &str, store: &str) -> Option<u16> {
        let request = Request::post(format!("/pointcross/Retire.Start/{store}"))
            .body(Bytes::from_static(b"{\"DeadlineS\":10}"))
            .expect("a valid request");
        self.control(name, request).await.map(|reply| reply.status.as_u16())
    }

    /// What one member says of a store that is being emptied.
    pub async fn retirement(&self, name: &str, store: &str) -> Option<String> {
        let request = Request::get(format!("/pointcross/Retire.Get/{store}"))
            .body(Bytes::new())
            .expect("a valid request");
        let reply = self.control(name, request).await?;
        Some(String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// The newest configuration as a member reads it: its version and author, 0 where there is none yet.
    pub async fn newest_order(&self, name: &str) -> Option<(u64, u64)> {
        let request =
            Request::get("/pointcross/Configuration.Get").body(Bytes::new()).expect("a valid request");
        let reply = self.control(name, request).await?;
        match reply.status.as_u16() {
            404 => Some((0, 0)),
            200 => Order::read(&String::from_utf8_lossy(&reply.body)),
            _ => None,
        }
    }

    /// Asks a proxy for the route that only one version of the configuration has. Gives the status of its answer.
    pub async fn probe(&self, name: &str, version: u64, id: &str) -> Option<u16> {
        let request = Request::post(format!("/only-{version}/probe"))
            .header("host", "tier.example")
            .header("x-attempt-id", id)
            .header("x-request-deadline", "1000")
            .body(Bytes::new())
            .expect("a valid request");
        self.request(name, request).await.map(|reply| reply.status.as_u16())
    }

    /// Sends a request to a proxy as a program.
    pub async fn request(&self, name: &str, request: Request<Bytes>) -> Option<Reply> {
        let address = SocketAddrV4::new(host_of(name), FRONT_PORT);
        client::call(&self.network, address, request, CALL_WITHIN).await
    }

    /// Takes a turn at a proxy, and notes it.
    pub async fn turn(&self, name: &str, turn: &Turn<'_>) -> Option<Reply> {
        let reply = self.request(name, turn.request()).await;
        let told = match &reply {
            Some(reply) if reply.complete => reply.status.as_u16().to_string(),
            Some(reply) => format!("{} cut short", reply.status.as_u16()),
            None => "no answer".to_owned(),
        };
        let after = turn.previous.map_or(String::new(), |previous| format!(" after {previous}"));
        self.timeline.note(name, format!("turn {}{after}: {told}", turn.id));
        reply
    }

    /// The number of the configuration that a member hands out to a follower that knows nothing; `None` where it
    /// hands out none.
    pub async fn served_version(&self, name: &str) -> Option<u64> {
        let update = self.first_update(name).await?;
        update.directory.map(|directory| directory.configuration_version)
    }

    /// The instances that a member hands out to a follower that knows nothing; `None` where it refers the follower to
    /// other members, or to nobody.
    pub async fn served_instances(&self, name: &str) -> Option<Vec<Instance>> {
        let update = self.first_update(name).await?;
        update.directory.is_some().then_some(update.instances)
    }

    /// The answer of a control machine to a follower that knows nothing.
    async fn first_update(&self, name: &str) -> Option<WatchUpdate> {
        let address = SocketAddrV4::new(host_of(name), FOLLOW_PORT);
        let environment = Environment { network: self.network.clone(), ..Environment::system() };
        let call = ControlCall::Watch(WatchRequest::default());
        match Peer::new(&environment, address).call(&call, FOLLOW_WITHIN).await {
            Ok(ControlReply::Update(update)) => Some(*update),
            _ => None,
        }
    }

    /// The number of the newest configuration, as a member reads it.
    pub async fn configuration_version(&self, name: &str) -> Option<u64> {
        let request =
            Request::get("/pointcross/Configuration.Get").body(Bytes::new()).expect("a valid request");
        let reply = self.control(name, request).await?;
        match reply.status.as_u16() {
            404 => Some(0),
            200 => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                text.split(',').next()?.rsplit(':').next()?.parse().ok()
            }
            _ => None,
        }
    }
}

/// A program's turn.
#[derive(Clone, Debug)]
pub struct Turn<'a> {
    /// The try's id.
    pub id: &'a str,
    /// The program.
    pub program: &'a str,
    /// The turn before.
    pub previous: Option<&'a str>,
    /// The input.
    pub input: &'a str,
    /// The program's budget.
    pub budget: Option<u64>,
    /// The most that it generates.
    pub max_tokens: u64,
    /// Whether what is said is kept.
    pub stored: bool,
}

impl<'a> Turn<'a> {
    /// The first turn of a program, with this id; it is kept, and has no budget.
    pub fn first(id: &'a str, program: &'a str) -> Self {
        Turn { id, program, previous: None, input: "said;", budget: None, max_tokens: 3, stored: true }
    }
}

impl Turn<'_> {
    /// The request that takes it.
    pub fn request(&self) -> Request<Bytes> {
        let path = if self.stored { "/kept/turn" } else { "/plain/turn" };
        let mut request = Request::post(path)
            .header("host", "tier.example")
            .header("x-attempt-id", self.id)
            .header("program", self.program)
            .header("session", "s1")
            .header("x-token-usage", format!("10,{}", self.max_tokens))
            .header("x-request-deadline", "4000");
        if let Some(previous) = self.previous {
            request = request.header("previous", previous);
        }
        if let Some(budget) = self.budget {
            request = request.header("budget", budget);
        }
        request.body(Bytes::copy_from_slice(self.input.as_bytes())).expect("a valid request")
    }
}
