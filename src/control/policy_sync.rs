//! Transfer of the policy between processes over framed streams.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};

use super::{
    policy,
    rpc_client::{self, RpcError},
    rpc_server::RpcService,
    shared_policy::SharedPolicy,
};
use crate::{
    proto::control::{PolicyReply, PolicyRequest, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

/// The policy could not be fetched from a peer.
#[derive(Debug, Snafu)]
#[snafu(display("cannot fetch the policy from {peer}: {source}"))]
pub struct FetchError {
    peer: SocketAddr,
    source: RpcError,
}

/// Fetches the policy of `peer` if it is newer than the current one. Returns whether the current
/// policy was replaced.
///
/// # Errors
///
/// Returns [`FetchError`] if the call fails.
pub async fn fetch_if_newer(
    peer: SocketAddr,
    keys: SharedKeyRing,
    shared: &SharedPolicy,
) -> Result<bool, FetchError> {
    let request = Body::Policy(PolicyRequest {
        have_version: shared.version(),
    });
    let reply = rpc_client::call(peer, keys, request).await;
    let reply: PolicyReply = reply.context(FetchSnafu { peer })?;
    let received = policy::decode(&reply.policy_json);
    Ok(received.is_some_and(|policy| shared.update_if_newer(policy)))
}

/// Handles a policy request: replies with the current policy if it is newer than the version of the
/// requester, and otherwise with the version only.
///
/// # Errors
///
/// Returns [`FrameError`] if the stream fails.
pub async fn handle_request(
    shared: &SharedPolicy,
    request: PolicyRequest,
    mut stream: FramedStream,
) -> Result<(), FrameError> {
    let current = shared.current();
    let is_newer = current.version > request.have_version;
    let policy_json = if is_newer {
        policy::encode(&current)
    } else {
        Vec::new()
    };
    let reply = PolicyReply {
        version: current.version,
        policy_json,
    };
    stream.send(&reply).await
}

/// RPC service that handles policy requests only.
#[derive(Clone, Debug)]
pub struct PolicyService {
    shared: SharedPolicy,
}

impl PolicyService {
    /// Creates a service that replies with the given policy.
    #[must_use]
    pub fn new(shared: SharedPolicy) -> Self {
        Self { shared }
    }
}

impl RpcService for PolicyService {
    async fn handle(&self, body: Body, stream: FramedStream) -> Result<(), FrameError> {
        match body {
            Body::Policy(request) => handle_request(&self.shared, request, stream).await,
            Body::Claim(_) | Body::Settle(_) | Body::Handover(_) => Ok(()),
        }
    }
}
