//! Handling of a request: claim of its idempotency key, admission, dispatch to a target and relay
//! of the response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use h3::{error::Code, server::RequestResolver};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use kameo::actor::ActorRef;
use slog::debug;
use tokio::{net::TcpStream, time};

use super::{
    context::RequestContext,
    dispatch::{self, DispatchError, TargetConnection, TargetResponse, strip_hop_by_hop_headers},
    handover::SlotFinder,
    idempotency::{ClaimDecision, Grant, IdempotencyRegistry},
    outcomes::{Outcome, StoredResponse},
    problem::Problem,
    response::{ResponseRecorder, SendHalf, send_full_response, send_problem},
    slots::{AcquireSlot, Permit, SlotAllocator},
    state::Shared,
    upload::{Upload, outgoing_request},
};
use crate::{
    control::policy,
    observe::{counters::Event, metrics::RequestLabels},
};

/// Response header with the host name of the agent that sent the response.
pub const TARGET_HEADER: &str = "bamboowind-target";
/// Response header that marks the replayed response of an earlier request.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Metric label of callers that are in no group of the policy.
const DEFAULT_CALLER_GROUP: &str = "other";
/// Maximum time for which the end of a response is delayed until the key's owner has stored the
/// outcome.
const SETTLE_WAIT_MS: u64 = 200;
/// Detail of the error response to a request whose response ends with the target's connection.
const UNFRAMED_RESPONSE: &str = "the target's response has neither a length nor chunks, so its end \
    cannot be verified; let the target send Content-Length";
/// Interval between searches for a slot at other agents while a request is queued.
const SEARCH_INTERVAL_MS: u64 = 2;
/// Retry delay of a duplicate of a running request.
const DUPLICATE_RETRY_AFTER_MS: u64 = 200;

/// Handles requests; shared by all connections.
#[derive(Clone)]
pub(crate) struct RequestHandler {
    shared: Arc<Shared>,
    slots: ActorRef<SlotAllocator>,
    registry: IdempotencyRegistry,
    finder: SlotFinder,
}

/// Final status of a request, for counters and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CompletionStatus {
    /// The response of the target was sent completely.
    Answered,
    /// The stored outcome of an earlier request with the same key was sent.
    Repeated,
    /// The request was refused and has not run.
    NotRun,
    /// The request may have run, but its complete response is not available.
    OutcomeUnknown,
    /// The caller disconnected before the response was complete.
    Cancelled,
}

impl CompletionStatus {
    /// Event by which requests with this status are counted.
    fn event(self) -> Event {
        match self {
            Self::Answered => Event::RequestAnswered,
            Self::Repeated => Event::RequestRepeated,
            Self::NotRun => Event::RequestNotRun,
            Self::OutcomeUnknown => Event::RequestOutcomeUnknown,
            Self::Cancelled => Event::RequestCancelled,
        }
    }

    /// Status of a request that ends with an error response.
    fn of(problem: &Problem) -> Self {
        match problem.outcome {
            super::problem::ProblemOutcome::NotRun => Self::NotRun,
            super::problem::ProblemOutcome::Unknown => Self::OutcomeUnknown,
        }
    }
}

/// Why a request with a key may not run.
enum ClaimRefusal {
    /// An earlier request with the key has a stored response, which is to be replayed.
    Stored(Arc<StoredResponse>),
    /// The caller gets an error response.
    Problem(Problem),
}

/// A granted claim that has not been settled.
///
/// If it is dropped, for example because the request was cancelled, the claim is settled with an
/// unknown outcome.
struct ClaimGuard {
    /// `None` if the request has no idempotency key or the claim has been settled.
    pending: Option<(IdempotencyRegistry, Grant)>,
}

impl ClaimGuard {
    fn none() -> Self {
        Self { pending: None }
    }

    fn new(registry: IdempotencyRegistry, grant: Grant) -> Self {
        Self {
            pending: Some((registry, grant)),
        }
    }

    /// Settles the claim; `None` means that the request has not run.
    async fn settle(mut self, outcome: Option<Outcome>) {
        if let Some((registry, grant)) = self.pending.take() {
            registry.settle(&grant, outcome).await;
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some((registry, grant)) = self.pending.take() {
            tokio::spawn(async move { registry.settle(&grant, Some(Outcome::Unknown)).await });
        }
    }
}

/// A slot reserved for a request.
enum Slot {
    /// A slot of this agent's target.
    Local(Permit),
    /// A slot of another agent's target. The stream is a tunnel to that target and holds the slot
    /// until it is closed.
    Remote(TcpStream),
}

impl Slot {
    /// Opens a connection to the target of the slot. The returned permit, if any, must be held
    /// until the request has finished.
    async fn connect(
        self,
        target: SocketAddr,
    ) -> Result<(TargetConnection, Option<Permit>), DispatchError> {
        match self {
            Self::Local(permit) => {
                let stream = dispatch::connect_target(target).await?;
                Ok((dispatch::handshake(stream).await?, Some(permit)))
            }
            Self::Remote(stream) => Ok((dispatch::handshake(stream).await?, None)),
        }
    }
}

impl RequestHandler {
    pub fn new(
        shared: Arc<Shared>,
        slots: ActorRef<SlotAllocator>,
        registry: IdempotencyRegistry,
        finder: SlotFinder,
    ) -> Self {
        Self {
            shared,
            slots,
            registry,
            finder,
        }
    }

    /// Reads a request from its stream, serves it and records its metrics.
    pub async fn handle(
        &self,
        connection: quinn::Connection,
        resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    ) {
        let caller = connection.remote_address();
        let (request, stream) = match resolver.resolve_request().await {
            Ok(parts) => parts,
            Err(error) => {
                debug!(self.shared.log, "failed to read the request headers"; "caller" => %caller,
                    "error" => %error);
                return;
            }
        };
        let (mut send, receive) = stream.split();
        let upload = Upload(receive);
        let context = match RequestContext::new(&self.shared, connection, &request) {
            Ok(context) => context,
            Err(problem) => {
                self.shared.counters.count(Event::RequestNotRun);
                send_problem(&mut send, &problem).await;
                return;
            }
        };
        let (status, queued_ms) = self.serve(&context, request, &mut send, upload).await;
        self.record(&context, status, queued_ms);
    }

    /// Serves a request; returns its status and the time until it got a slot, in milliseconds.
    async fn serve(
        &self,
        context: &RequestContext,
        request: Request<()>,
        send: &mut SendHalf,
        upload: Upload,
    ) -> (CompletionStatus, f64) {
        let claim = match self.claim(context).await {
            Ok(claim) => claim,
            Err(ClaimRefusal::Stored(stored)) => return (self.replay(send, &stored).await, 0.0),
            Err(ClaimRefusal::Problem(problem)) => return (fail(send, &problem).await, 0.0),
        };
        let slot = match self.acquire_slot(context).await {
            Ok(slot) => slot,
            Err(problem) => {
                claim.settle(None).await;
                return (fail(send, &problem).await, context.elapsed_ms());
            }
        };
        let queued_ms = context.elapsed_ms();
        let status = self.run(context, slot, claim, request, send, upload).await;
        (status, queued_ms)
    }

    /// Claims the request's idempotency key, if it has one.
    async fn claim(&self, context: &RequestContext) -> Result<ClaimGuard, ClaimRefusal> {
        let Some(key) = &context.idempotency_key else {
            return Ok(ClaimGuard::none());
        };
        let refuse = |problem| Err(ClaimRefusal::Problem(problem));
        match self.registry.claim(key, context.fingerprint).await {
            ClaimDecision::Granted(grant) => Ok(ClaimGuard::new(self.registry.clone(), grant)),
            ClaimDecision::Duplicate(Outcome::Answered(stored)) => {
                Err(ClaimRefusal::Stored(stored))
            }
            ClaimDecision::Duplicate(Outcome::Running) => refuse(
                Problem::unknown(StatusCode::CONFLICT, "a request with this key still runs")
                    .with_retry_after_ms(DUPLICATE_RETRY_AFTER_MS),
            ),
            ClaimDecision::Duplicate(Outcome::Unknown) => refuse(Problem::unknown(
                StatusCode::CONFLICT,
                "a request with this key ran and its answer was lost",
            )),
            ClaimDecision::OwnerUnavailable => refuse(Problem::unknown(
                StatusCode::CONFLICT,
                "whether a request with this key ran cannot be known",
            )),
            ClaimDecision::FingerprintMismatch => refuse(Problem::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "this key was used for another request",
            )),
            ClaimDecision::Full => refuse(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many outcomes are kept",
            )),
        }
    }

    /// Acquires a slot. In order of preference: at a less utilised target when rebalancing, at this
    /// agent if a slot is free, at another agent, or at this agent after queueing. The last two are
    /// tried concurrently.
    async fn acquire_slot(&self, context: &RequestContext) -> Result<Slot, Problem> {
        if context.classification.long_stream {
            return self
                .acquire_local_slot(context.acquire_slot(context.start_by_ms))
                .await;
        }
        if let Some(stream) = self.finder.rebalance(&context.slot_requirements()).await {
            self.shared.counters.count(Event::RequestHandedOver);
            return Ok(Slot::Remote(stream));
        }
        if let Ok(slot) = self.acquire_local_slot(context.acquire_slot(Some(0))).await {
            return Ok(slot);
        }
        let local = self.acquire_local_slot(context.acquire_slot(context.start_by_ms));
        tokio::pin!(local);
        loop {
            if let Some(stream) = self.finder.find(&context.slot_requirements()).await {
                self.shared.counters.count(Event::RequestHandedOver);
                return Ok(Slot::Remote(stream));
            }
            tokio::select! {
                slot = &mut local => return slot,
                () = time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)) => {}
            }
        }
    }

    /// Acquires a slot of this agent's target, which may queue the request.
    async fn acquire_local_slot(&self, message: AcquireSlot) -> Result<Slot, Problem> {
        match self.slots.ask(message).await {
            Ok(permit) => Ok(Slot::Local(permit)),
            Err(kameo::error::SendError::HandlerError(refusal)) => Err(Problem::refused(refusal)),
            Err(_) => Err(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the agent is stopping",
            )),
        }
    }

    /// Runs the request in its slot and relays the response.
    async fn run(
        &self,
        context: &RequestContext,
        slot: Slot,
        claim: ClaimGuard,
        request: Request<()>,
        send: &mut SendHalf,
        upload: Upload,
    ) -> CompletionStatus {
        let target = self.shared.identity.target_address;
        let (connection, _permit) = match slot.connect(target).await {
            Ok(connected) => connected,
            Err(error) => {
                claim.settle(None).await;
                let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
                return fail(send, &problem).await;
            }
        };
        let timeout_ms = self.shared.limits().response_timeout_ms;
        let outgoing = outgoing_request(request, context.caller, upload);
        let sending = connection.send(outgoing, timeout_ms);
        let result = tokio::select! {
            result = sending => result,
            () = wait_until_abandoned(context) => return CompletionStatus::Cancelled,
        };
        match result {
            Ok(response) if response.has_verifiable_end() => {
                self.relay(context, claim, response, send).await
            }
            Ok(_) => {
                claim.settle(Some(Outcome::Unknown)).await;
                let problem = Problem::unknown(StatusCode::BAD_GATEWAY, UNFRAMED_RESPONSE);
                fail(send, &problem).await
            }
            Err(error) => {
                claim.settle(Some(Outcome::Unknown)).await;
                let problem = Problem::unknown(lost_response_status(&error), error.to_string());
                fail(send, &problem).await
            }
        }
    }

    /// Streams the target's response to the caller, and records it if the request has a key. With a
    /// key, the response is read to its end even if the caller disconnects.
    async fn relay(
        &self,
        context: &RequestContext,
        claim: ClaimGuard,
        mut target_response: TargetResponse,
        send: &mut SendHalf,
    ) -> CompletionStatus {
        let response = &target_response.response;
        let mut head = Response::new(());
        *head.status_mut() = response.status();
        *head.headers_mut() = response.headers().clone();
        strip_hop_by_hop_headers(head.headers_mut());
        let mut recorder = ResponseRecorder::new(context, &head);
        if let Ok(name) = HeaderValue::from_str(&self.shared.identity.name) {
            head.headers_mut().insert(TARGET_HEADER, name);
        }
        let mut has_caller_left = send.send_response(head).await.is_err();
        let status = loop {
            if has_caller_left && context.idempotency_key.is_none() {
                break CompletionStatus::Cancelled;
            }
            match target_response.response.body_mut().frame().await {
                None => break CompletionStatus::Answered,
                Some(Err(_)) => break CompletionStatus::OutcomeUnknown,
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    recorder.record_chunk(&data);
                    has_caller_left = has_caller_left || send.send_data(data).await.is_err();
                }
            }
        };
        finish_response(claim, status, recorder, send).await
    }

    /// Sends the stored response of an earlier request, or an error response if its body was too
    /// long to be stored.
    async fn replay(&self, send: &mut SendHalf, stored: &StoredResponse) -> CompletionStatus {
        let mut head = Response::new(());
        *head.status_mut() = stored.status;
        *head.headers_mut() = stored.headers.clone();
        head.headers_mut()
            .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        let Some(body) = &stored.body else {
            let detail = format!(
                "the request ran with status {}; its answer was too long to keep",
                stored.status.as_u16()
            );
            let problem = Problem::unknown(StatusCode::CONFLICT, detail);
            send_problem(send, &problem).await;
            return CompletionStatus::Repeated;
        };
        // Errors are ignored: a caller that has disconnected needs no response.
        let _ = send_full_response(send, head, body.clone()).await;
        CompletionStatus::Repeated
    }

    /// Counts the request and records its metrics.
    fn record(&self, context: &RequestContext, status: CompletionStatus, queued_ms: f64) {
        let event = status.event();
        self.shared.counters.count(event);
        let policy = self.shared.policy.current();
        let group = policy::caller_group(&policy, context.caller.ip());
        let labels = RequestLabels {
            class: &context.classification.class,
            caller_group: group.unwrap_or(DEFAULT_CALLER_GROUP),
            outcome: event.name(),
        };
        self.shared
            .metrics
            .record_request(labels, context.elapsed_ms(), queued_ms);
    }
}

/// Settles the claim and finishes the response stream, or resets it if the response is incomplete.
async fn finish_response(
    claim: ClaimGuard,
    status: CompletionStatus,
    recorder: ResponseRecorder,
    send: &mut SendHalf,
) -> CompletionStatus {
    if status != CompletionStatus::Answered {
        // Without the reset, the caller could mistake the truncated response for a complete one.
        send.stop_stream(Code::H3_INTERNAL_ERROR);
        claim.settle(Some(Outcome::Unknown)).await;
        return status;
    }
    // An unresponsive key owner must not delay the end of the response any longer.
    let settling = tokio::spawn(claim.settle(Some(recorder.into_outcome())));
    let _ = time::timeout(Duration::from_millis(SETTLE_WAIT_MS), settling).await;
    match send.finish().await {
        Ok(()) => CompletionStatus::Answered,
        Err(_) => CompletionStatus::Cancelled,
    }
}

/// Sends an error response and returns the resulting status.
async fn fail(send: &mut SendHalf, problem: &Problem) -> CompletionStatus {
    send_problem(send, problem).await;
    CompletionStatus::of(problem)
}

/// Waits until the response is no longer needed: the caller has disconnected and the request has no
/// key with which the response could be requested again.
async fn wait_until_abandoned(context: &RequestContext) {
    context.connection.closed().await;
    if context.idempotency_key.is_some() {
        std::future::pending::<()>().await;
    }
}

/// Status code of the error response to a request whose outcome is unknown.
fn lost_response_status(error: &DispatchError) -> StatusCode {
    match error {
        DispatchError::Timeout { .. } => StatusCode::GATEWAY_TIMEOUT,
        DispatchError::NotSent { .. } | DispatchError::ResponseLost { .. } => {
            StatusCode::BAD_GATEWAY
        }
    }
}
