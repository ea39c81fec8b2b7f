//! Passes the policy between processes over framed streams.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};

use super::{
    inner_client::{self, AskError},
    inner_server::InnerService,
    policy,
    policy_cell::PolicyCell,
};
use crate::{
    proto::control::{PolicyReply, PolicyRequest, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

/// Why a policy could not be fetched.
#[derive(Debug, Snafu)]
#[snafu(display("cannot fetch the policy from {peer}: {source}"))]
pub struct FetchError {
    peer: SocketAddr,
    source: AskError,
}

/// Fetches the policy of `peer` if it is newer, and offers it to `cell`.
///
/// # Errors
///
/// Returns [`FetchError`] when the exchange fails.
pub async fn fetch(
    peer: SocketAddr,
    keys: SharedKeyRing,
    cell: &PolicyCell,
) -> Result<bool, FetchError> {
    let request = Body::Policy(PolicyRequest {
        have_version: cell.version(),
    });
    let asked = inner_client::ask(peer, keys, request).await;
    let reply: PolicyReply = asked.context(FetchSnafu { peer })?;
    let newer = policy::decode(&reply.policy_json);
    Ok(newer.is_some_and(|policy| cell.offer(policy)))
}

/// Answers a request of the policy.
///
/// # Errors
///
/// Returns [`FrameError`] when the stream fails.
pub async fn answer(
    cell: &PolicyCell,
    request: PolicyRequest,
    mut stream: FramedStream,
) -> Result<(), FrameError> {
    let current = cell.current();
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

/// Answers requests of the policy and nothing else.
#[derive(Clone, Debug)]
pub struct PolicyService {
    cell: PolicyCell,
}

impl PolicyService {
    /// Answers with the policy of `cell`.
    #[must_use]
    pub fn new(cell: PolicyCell) -> Self {
        Self { cell }
    }
}

impl InnerService for PolicyService {
    async fn answer(&self, body: Body, stream: FramedStream) -> Result<(), FrameError> {
        match body {
            Body::Policy(request) => answer(&self.cell, request, stream).await,
            Body::Claim(_) | Body::Settle(_) | Body::Handover(_) => Ok(()),
        }
    }
}
