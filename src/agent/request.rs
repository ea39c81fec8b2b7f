//! Takes one request from its caller to the target and the answer back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use h3::{error::Code, server::RequestResolver};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use kameo::actor::ActorRef;
use slog::debug;
use tokio::{net::TcpStream, time};

use super::{
    context::Context,
    dispatch::{self, DispatchError, TargetAnswer, TargetConnection, strip_connection_headers},
    handover::Finder,
    home::{Decision, Grant, HomeBook},
    outcomes::{KeptAnswer, Outcome},
    problem::Problem,
    reply::{Keeper, SendHalf, send_problem, send_whole},
    slots::{Ask, Permit, Slots},
    state::Shared,
    upload::{Upload, outgoing_request},
};
use crate::{
    control::policy,
    observe::{counters::Event, metrics::RequestLabels},
};

/// Header that names the target which answered.
pub const TARGET_HEADER: &str = "bamboowind-target";
/// Header of an answer that was kept from an earlier request.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

const OTHER_GROUP: &str = "other";
/// How long the end of an answer waits for the home of its key to note the outcome.
const SETTLE_WAIT_MS: u64 = 200;
/// Pause between two searches for a slot at other agents.
const SEARCH_INTERVAL_MS: u64 = 2;
const RETRY_WHILE_RUNNING_MS: u64 = 200;

/// Handles the requests of all connections.
#[derive(Clone)]
pub(crate) struct Handler {
    shared: Arc<Shared>,
    slots: ActorRef<Slots>,
    book: HomeBook,
    finder: Finder,
}

/// How a request ended, for counters and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Answered,
    Repeated,
    NotRun,
    OutcomeUnknown,
    Cancelled,
}

impl Ending {
    fn event(self) -> Event {
        match self {
            Self::Answered => Event::RequestAnswered,
            Self::Repeated => Event::RequestRepeated,
            Self::NotRun => Event::RequestNotRun,
            Self::OutcomeUnknown => Event::RequestOutcomeUnknown,
            Self::Cancelled => Event::RequestCancelled,
        }
    }

    fn of(problem: &Problem) -> Self {
        match problem.outcome {
            super::problem::Outcome::NotRun => Self::NotRun,
            super::problem::Outcome::Unknown => Self::OutcomeUnknown,
        }
    }
}

/// Why a request with a key may not run.
enum Refused {
    /// An earlier request was answered, and this is its answer.
    Kept(Arc<KeptAnswer>),
    /// Another reason.
    Problem(Problem),
}

/// A key that was granted to a request, until its outcome is settled.
///
/// A claim that is dropped, because its request was given up, is settled as unknown.
struct HeldClaim {
    held: Option<(HomeBook, Grant)>,
}

impl HeldClaim {
    fn none() -> Self {
        Self { held: None }
    }

    fn new(book: HomeBook, grant: Grant) -> Self {
        Self {
            held: Some((book, grant)),
        }
    }

    /// Settles the claim; `None` says that the request has not run.
    async fn settle(mut self, outcome: Option<Outcome>) {
        if let Some((book, grant)) = self.held.take() {
            book.settle(&grant, outcome).await;
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if let Some((book, grant)) = self.held.take() {
            tokio::spawn(async move { book.settle(&grant, Some(Outcome::Unknown)).await });
        }
    }
}

/// A slot in which a request may run.
enum Slot {
    /// At this agent's target.
    Own(Permit),
    /// At the target of another agent, through a tunnel that holds the slot.
    Other(TcpStream),
}

impl Slot {
    async fn connect(
        self,
        target: SocketAddr,
    ) -> Result<(TargetConnection, Option<Permit>), DispatchError> {
        match self {
            Self::Own(permit) => {
                let stream = dispatch::connect_target(target).await?;
                Ok((dispatch::prepare(stream).await?, Some(permit)))
            }
            Self::Other(stream) => Ok((dispatch::prepare(stream).await?, None)),
        }
    }
}

impl Handler {
    pub fn new(
        shared: Arc<Shared>,
        slots: ActorRef<Slots>,
        book: HomeBook,
        finder: Finder,
    ) -> Self {
        Self {
            shared,
            slots,
            book,
            finder,
        }
    }

    /// Handles one request to its end.
    pub async fn handle(
        &self,
        connection: quinn::Connection,
        unread: RequestResolver<h3_quinn::Connection, Bytes>,
    ) {
        let caller = connection.remote_address();
        let (request, stream) = match unread.resolve_request().await {
            Ok(parts) => parts,
            Err(error) => {
                debug!(self.shared.log, "request not read"; "caller" => %caller, "error" => %error);
                return;
            }
        };
        let (mut send, receive) = stream.split();
        let upload = Upload(receive);
        let context = match Context::new(&self.shared, connection, &request) {
            Ok(context) => context,
            Err(problem) => {
                self.shared.counters.count(Event::RequestNotRun);
                send_problem(&mut send, &problem).await;
                return;
            }
        };
        let (ending, queued_ms) = self.serve(&context, request, &mut send, upload).await;
        self.record(&context, ending, queued_ms);
    }

    async fn serve(
        &self,
        context: &Context,
        request: Request<()>,
        send: &mut SendHalf,
        upload: Upload,
    ) -> (Ending, f64) {
        let claim = match self.claim(context).await {
            Ok(claim) => claim,
            Err(Refused::Kept(answer)) => return (self.replay(send, &answer).await, 0.0),
            Err(Refused::Problem(problem)) => return (give_up(send, &problem).await, 0.0),
        };
        let slot = match self.find_slot(context).await {
            Ok(slot) => slot,
            Err(problem) => {
                claim.settle(None).await;
                return (give_up(send, &problem).await, context.elapsed_ms());
            }
        };
        let queued_ms = context.elapsed_ms();
        let ending = self.run(context, slot, claim, request, send, upload).await;
        (ending, queued_ms)
    }

    /// Asks the home of the request's key, if it has one, whether the request may run.
    async fn claim(&self, context: &Context) -> Result<HeldClaim, Refused> {
        let Some(key) = &context.key else {
            return Ok(HeldClaim::none());
        };
        let refuse = |problem| Err(Refused::Problem(problem));
        match self.book.claim(key, context.fingerprint).await {
            Decision::Granted(grant) => Ok(HeldClaim::new(self.book.clone(), grant)),
            Decision::Repeat(Outcome::Answered(answer)) => Err(Refused::Kept(answer)),
            Decision::Repeat(Outcome::Running) => refuse(
                Problem::unknown(StatusCode::CONFLICT, "a request with this key still runs")
                    .with_retry_after_ms(RETRY_WHILE_RUNNING_MS),
            ),
            Decision::Repeat(Outcome::Unknown) => refuse(Problem::unknown(
                StatusCode::CONFLICT,
                "a request with this key ran and its answer was lost",
            )),
            Decision::NoHome => refuse(Problem::unknown(
                StatusCode::CONFLICT,
                "whether a request with this key ran cannot be known",
            )),
            Decision::OtherContent => refuse(Problem::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "this key was used for another request",
            )),
            Decision::Full => refuse(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many outcomes are kept",
            )),
        }
    }

    /// Finds a slot: at a target that is used less, else here if one is free, else at another
    /// agent, else here after a wait.
    async fn find_slot(&self, context: &Context) -> Result<Slot, Problem> {
        if context.classification.long_stream {
            return self.local_slot(context.ask(context.start_by_ms)).await;
        }
        if let Some(stream) = self.finder.even_out(&context.need()).await {
            self.shared.counters.count(Event::RequestHandedOver);
            return Ok(Slot::Other(stream));
        }
        if let Ok(slot) = self.local_slot(context.ask(Some(0))).await {
            return Ok(slot);
        }
        let local = self.local_slot(context.ask(context.start_by_ms));
        tokio::pin!(local);
        loop {
            if let Some(stream) = self.finder.find(&context.need()).await {
                self.shared.counters.count(Event::RequestHandedOver);
                return Ok(Slot::Other(stream));
            }
            tokio::select! {
                slot = &mut local => return slot,
                () = time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)) => {}
            }
        }
    }

    async fn local_slot(&self, ask: Ask) -> Result<Slot, Problem> {
        match self.slots.ask(ask).await {
            Ok(permit) => Ok(Slot::Own(permit)),
            Err(kameo::error::SendError::HandlerError(refusal)) => Err(Problem::refused(refusal)),
            Err(_) => Err(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the agent is stopping",
            )),
        }
    }

    async fn run(
        &self,
        context: &Context,
        slot: Slot,
        claim: HeldClaim,
        request: Request<()>,
        send: &mut SendHalf,
        upload: Upload,
    ) -> Ending {
        let target = self.shared.identity.target_address;
        let (connection, _permit) = match slot.connect(target).await {
            Ok(connected) => connected,
            Err(error) => {
                claim.settle(None).await;
                let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
                return give_up(send, &problem).await;
            }
        };
        let timeout_ms = self.shared.limits().response_timeout_ms;
        let outgoing = outgoing_request(request, context.caller, upload);
        let running = connection.run(outgoing, timeout_ms);
        let result = tokio::select! {
            result = running => result,
            () = abandoned(context) => return Ending::Cancelled,
        };
        match result {
            Ok(answer) => self.relay(context, claim, answer, send).await,
            Err(error) => {
                claim.settle(Some(Outcome::Unknown)).await;
                let problem = Problem::unknown(unknown_status(&error), error.to_string());
                give_up(send, &problem).await
            }
        }
    }

    /// Streams the target's answer to the caller, and keeps it if the request has a key.
    async fn relay(
        &self,
        context: &Context,
        claim: HeldClaim,
        mut answer: TargetAnswer,
        send: &mut SendHalf,
    ) -> Ending {
        let response = &answer.response;
        let mut head = Response::new(());
        *head.status_mut() = response.status();
        *head.headers_mut() = response.headers().clone();
        strip_connection_headers(head.headers_mut());
        let mut keeper = Keeper::new(context, &head);
        if let Ok(name) = HeaderValue::from_str(&self.shared.identity.name) {
            head.headers_mut().insert(TARGET_HEADER, name);
        }
        let mut is_caller_gone = send.send_response(head).await.is_err();
        let ending = loop {
            if is_caller_gone && context.key.is_none() {
                break Ending::Cancelled;
            }
            match answer.response.body_mut().frame().await {
                None => break Ending::Answered,
                Some(Err(_)) => break Ending::OutcomeUnknown,
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    keeper.add(&data);
                    is_caller_gone = is_caller_gone || send.send_data(data).await.is_err();
                }
            }
        };
        conclude(claim, ending, keeper, send).await
    }

    async fn replay(&self, send: &mut SendHalf, answer: &KeptAnswer) -> Ending {
        let mut head = Response::new(());
        *head.status_mut() = answer.status;
        *head.headers_mut() = answer.headers.clone();
        head.headers_mut()
            .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        let Some(body) = &answer.body else {
            let detail = format!(
                "the request ran with status {}; its answer was too long to keep",
                answer.status.as_u16()
            );
            let problem = Problem::unknown(StatusCode::CONFLICT, detail);
            send_problem(send, &problem).await;
            return Ending::Repeated;
        };
        // A caller that has left needs no answer.
        let _ = send_whole(send, head, body.clone()).await;
        Ending::Repeated
    }

    fn record(&self, context: &Context, ending: Ending, queued_ms: f64) {
        let event = ending.event();
        self.shared.counters.count(event);
        let policy = self.shared.policy.current();
        let group = policy::caller_group(&policy, context.caller.ip());
        let labels = RequestLabels {
            class: &context.classification.class,
            caller_group: group.unwrap_or(OTHER_GROUP),
            outcome: event.name(),
        };
        self.shared
            .metrics
            .record_request(labels, context.elapsed_ms(), queued_ms);
    }
}

/// Settles the claim and ends the answer.
async fn conclude(claim: HeldClaim, ending: Ending, keeper: Keeper, send: &mut SendHalf) -> Ending {
    if ending != Ending::Answered {
        // A reset, so that the caller cannot take a part for the whole.
        send.stop_stream(Code::H3_INTERNAL_ERROR);
        claim.settle(Some(Outcome::Unknown)).await;
        return ending;
    }
    // A home that does not answer must not hold back the end of the caller's answer.
    let settling = tokio::spawn(claim.settle(Some(keeper.into_outcome())));
    let _ = time::timeout(Duration::from_millis(SETTLE_WAIT_MS), settling).await;
    match send.finish().await {
        Ok(()) => Ending::Answered,
        Err(_) => Ending::Cancelled,
    }
}

/// Answers with a problem.
async fn give_up(send: &mut SendHalf, problem: &Problem) -> Ending {
    send_problem(send, problem).await;
    Ending::of(problem)
}

/// Waits until nobody wants the answer: the caller has left, and no key can ask for it again.
async fn abandoned(context: &Context) {
    context.connection.closed().await;
    if context.key.is_some() {
        std::future::pending::<()>().await;
    }
}

fn unknown_status(error: &DispatchError) -> StatusCode {
    match error {
        DispatchError::Timeout { .. } => StatusCode::GATEWAY_TIMEOUT,
        DispatchError::NotSent { .. } | DispatchError::Sent { .. } => StatusCode::BAD_GATEWAY,
    }
}
