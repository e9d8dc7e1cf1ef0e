//! The client as a [`tower::Service`], for programs built of layers.

use crate::client::{CallError, Client, Failure, Item, Outcome, Refused};
use bytes::Bytes;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tower::Service;

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its class.
    pub class: String,
    /// What it is about.
    pub item: Item,
    /// With a body it writes, without one it reads.
    pub body: Option<Bytes>,
    /// How long it waits, where not for the class's deadline.
    pub deadline: Option<Duration>,
}

/// Why a call was not served.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ServiceError {
    /// Refused; trying again later is harmless.
    #[error("refused ({:?}); come back in {:?}", .0.why, .0.retry_after)]
    Refused(Refused),
    /// Failed.
    #[error(transparent)]
    Failed(#[from] Failure),
    /// Never made.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl Service<ClientRequest> for Client {
    type Response = Bytes;
    type Error = ServiceError;
    type Future = Pin<Box<dyn Future<Output = Result<Bytes, ServiceError>> + Send>>;

    /// Always ready: calls wait in the client's own lines, within their deadlines.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ServiceError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: ClientRequest) -> Self::Future {
        let client = self.clone();
        Box::pin(async move {
            let ClientRequest { class, item, body, deadline } = request;
            let mut call = Client::call(&client, class, item, body);
            if let Some(deadline) = deadline {
                call = call.deadline(deadline);
            }
            match call.await? {
                Outcome::Served(body) => Ok(body),
                Outcome::Refused(refused) => Err(ServiceError::Refused(refused)),
                Outcome::Failed(failure) => Err(failure.into()),
            }
        })
    }
}
