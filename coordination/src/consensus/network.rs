//! Calls of the consensus to the other members, one HTTP call a message over [`crate::wire`].
//!
//! A member that cannot be reached is reported as unreachable, for which `openraft` asks for a backoff. Any
//! other failure is reported as a network error.

use super::TypeConfig;
use crate::wire::{CallError, Caller};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, RaftNetwork, RaftNetworkFactory};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Where entries, snapshots and vote requests are sent.
pub(crate) const APPEND_PATH: &str = "/peers/append";
/// See [`APPEND_PATH`].
pub(crate) const SNAPSHOT_PATH: &str = "/peers/snapshot";
/// See [`APPEND_PATH`].
pub(crate) const VOTE_PATH: &str = "/peers/vote";

/// Delay between calls to a member that is unreachable.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);

/// Makes a client for each member.
pub struct PeerNetwork {
    /// Makes the calls.
    pub caller: Caller,
    /// Where each member is reached from here, by its number.
    pub addresses: Vec<SocketAddr>,
}

/// Calls one member.
pub struct PeerClient {
    caller: Caller,
    target: u64,
    /// `None` where the log names a member that the operator's file does not.
    address: Option<SocketAddr>,
}

/// The log names a scheduler that the operator's file does not.
#[derive(Debug, thiserror::Error)]
#[error("scheduler {0} is not among the peers")]
struct NoSuchPeer(u64);

/// The failure of a call whose remote error is `E`.
type PeerError<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl RaftNetworkFactory<TypeConfig> for PeerNetwork {
    type Network = PeerClient;

    async fn new_client(&mut self, target: u64, _: &BasicNode) -> PeerClient {
        let address = self.addresses.get(target as usize).copied();
        PeerClient { caller: self.caller.clone(), target, address }
    }
}

impl PeerClient {
    async fn call<Q, A, E>(&self, path: &str, request: &Q, timeout: Duration) -> Result<A, PeerError<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let Some(address) = self.address else {
            return Err(RPCError::Unreachable(Unreachable::new(&NoSuchPeer(self.target))));
        };
        let body = serde_json::to_vec(request).map_err(network_error)?;
        let reply = self.caller.call("POST", address, path, body, timeout).await;
        let reply = reply.map_err(call_failure)?;
        let reply: Result<A, RaftError<u64, E>> = serde_json::from_slice(&reply).map_err(network_error)?;
        reply.map_err(|error| RPCError::RemoteError(RemoteError::new(self.target, error)))
    }
}

fn network_error<E: std::error::Error>(error: serde_json::Error) -> PeerError<E> {
    RPCError::Network(NetworkError::new(&error))
}

fn call_failure<E: std::error::Error>(error: CallError) -> PeerError<E> {
    match error {
        CallError::Connection(_) | CallError::Timeout(_) => RPCError::Unreachable(Unreachable::new(&error)),
        error => RPCError::Network(NetworkError::new(&error)),
    }
}

impl RaftNetwork<TypeConfig> for PeerClient {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.call(APPEND_PATH, &rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, PeerError<InstallSnapshotError>> {
        self.call(SNAPSHOT_PATH, &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.call(VOTE_PATH, &rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(UNREACHABLE_BACKOFF))
    }
}
