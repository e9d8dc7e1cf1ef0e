//! The plug-in for RPC libraries: a [`tower::Layer`] round a client service, on the same core.
//!
//! The embedding program builds a [`Core`], drives [`Core::run_timers`] and feeds [`Core::list`]; the layer
//! then takes every call through the module. The inner service carries one attempt to the node it is given.
//!
//! ```
//! use pointcross::rpc::{Directed, Pointcross, PointcrossLayer, Protocol};
//! use pointcross_core::{Core, End, Ended, NewRequest};
//! use std::sync::Arc;
//! use tower::Layer;
//!
//! struct Readings;
//!
//! impl Protocol<u64> for Readings {
//!     type Response = String;
//!     type Error = std::io::Error;
//!
//!     fn describe(&self, piece: &u64) -> NewRequest {
//!         let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
//!         NewRequest {
//!             class: 0, plan: 0, volume: 7, key: *piece, units: 1.0, shard: Some(0), volume_hosts: 1.0,
//!             client_repeat: false, writes: false, deadline,
//!         }
//!     }
//!
//!     fn judge(&self, result: Result<String, std::io::Error>) -> Ended<String> {
//!         match result {
//!             Ok(reading) => End::Served(reading).into(),
//!             Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => End::NoConnection.into(),
//!             // Whatever else went wrong, it may have run.
//!             Err(_) => End::Reset.into(),
//!         }
//!     }
//! }
//!
//! fn plug_in<S>(core: Arc<Core>, client: S) -> Pointcross<S, Readings>
//! where
//!     S: tower::Service<Directed<u64>, Response = String, Error = std::io::Error>,
//! {
//!     PointcrossLayer::new(core, Readings).layer(client)
//! }
//! ```

use pointcross_core::{Answer, Attempt, Core, End, Ended, NewRequest, Target, Transport};
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tower::{Layer, Service};

/// What an RPC library's calls mean to the scheduler.
pub trait Protocol<Request>: Send + Sync {
    /// What the inner service gives back.
    type Response: Send;
    /// How the inner service fails.
    type Error: Send;

    /// The call as the core sees it: class, plan, volume, size, shard and deadline.
    fn describe(&self, request: &Request) -> NewRequest;

    /// What an attempt's result says: served, or failed in a way that may have run, or never did. What is
    /// not known never to have run may have.
    fn judge(&self, result: Result<Self::Response, Self::Error>) -> Ended<Self::Response>;
}

/// One attempt, as the inner service gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Directed<Request> {
    /// The node it must go to.
    pub target: Target,
    /// How long it will be waited for. Dropping the inner service's future gives it up earlier.
    pub time_left: Duration,
    /// The call.
    pub request: Request,
}

/// Why a call brought no response.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// Never run, or harmless to repeat: come again, best after this long.
    #[error("refused; come back in {:.3} s", retry_after.as_secs_f64())]
    Refused {
        /// How long to stay away.
        retry_after: Duration,
    },
    /// It may have run.
    #[error("failed; it may have run")]
    Failed,
}

/// Puts a scheduler in front of a client service.
#[derive(Clone)]
pub struct PointcrossLayer<P> {
    core: Arc<Core>,
    protocol: Arc<P>,
}

impl<P> PointcrossLayer<P> {
    /// A layer on this core; everything that shares the core shares its plans, reservations and limits.
    pub fn new(core: Arc<Core>, protocol: P) -> Self {
        PointcrossLayer { core, protocol: Arc::new(protocol) }
    }
}

impl<S, P> Layer<S> for PointcrossLayer<P> {
    type Service = Pointcross<S, P>;

    fn layer(&self, inner: S) -> Self::Service {
        Pointcross { core: self.core.clone(), protocol: self.protocol.clone(), inner }
    }
}

/// A client service behind the scheduler.
pub struct Pointcross<S, P> {
    core: Arc<Core>,
    protocol: Arc<P>,
    inner: S,
}

impl<S: Clone, P> Clone for Pointcross<S, P> {
    fn clone(&self) -> Self {
        Pointcross { core: self.core.clone(), protocol: self.protocol.clone(), inner: self.inner.clone() }
    }
}

impl<S, P, Request> Service<Request> for Pointcross<S, P>
where
    Request: Clone + Send + Sync + 'static,
    P: Protocol<Request> + 'static,
    S: Service<Directed<Request>, Response = P::Response, Error = P::Error> + Clone + Send + Sync + 'static,
    S::Future: Send,
{
    type Response = P::Response;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<P::Response, CallError>> + Send>>;

    /// Always ready: how much may be out is the module's decision, and each attempt waits for the inner
    /// service by itself.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request) -> Self::Future {
        let Pointcross { core, protocol, inner } = self.clone();
        Box::pin(async move {
            let new = protocol.describe(&request);
            let carrier = Carrier { protocol, inner, _request: std::marker::PhantomData };
            match core.serve(&carrier, &request, new).await {
                Answer::Served(response) => Ok(response),
                Answer::Refused { retry_after } => Err(CallError::Refused { retry_after }),
                Answer::Failed => Err(CallError::Failed),
            }
        })
    }
}

/// Carries attempts over the inner service.
struct Carrier<S, P, Request> {
    protocol: Arc<P>,
    inner: S,
    _request: std::marker::PhantomData<fn(Request)>,
}

impl<S, P, Request> Transport for Carrier<S, P, Request>
where
    Request: Clone + Send + Sync,
    P: Protocol<Request>,
    S: Service<Directed<Request>, Response = P::Response, Error = P::Error> + Clone + Send + Sync,
    S::Future: Send,
{
    type Call = Request;
    type Answer = P::Response;

    async fn attempt(&self, attempt: Attempt, request: &Request) -> Ended<P::Response> {
        let mut service = self.inner.clone();
        // What the inner service never took cannot have run.
        if poll_fn(|cx| service.poll_ready(cx)).await.is_err() {
            return End::NoConnection.into();
        }
        // The service may have been busy for long: what was decided before may no longer begin.
        if !attempt.gate.is_open() {
            return End::NotSent.into();
        }
        let Attempt { target, time_left, .. } = attempt;
        let result = service.call(Directed { target, time_left, request: request.clone() }).await;
        self.protocol.judge(result)
    }
}
