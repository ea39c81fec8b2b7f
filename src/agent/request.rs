//! Takes one request from its caller to the target and the answer back.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes};
use futures_util::{StreamExt, stream};
use h3::{
    error::Code,
    server::{RequestResolver, RequestStream},
};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Frame;
use kameo::actor::ActorRef;
use slog::debug;
use tokio::{net::TcpStream, sync::mpsc, time};

use super::{
    dispatch::{
        self, DispatchError, RequestBody, TargetAnswer, TargetConnection, strip_connection_headers,
    },
    handover::{Finder, Need},
    home::{Decision, Grant, HomeBook, Key, KeyFault},
    outcomes::{KeptAnswer, MAX_KEPT_BODY_LEN, Outcome},
    problem::Problem,
    slots::{Ask, Permit, Slots},
    state::Shared,
};
use crate::{
    clock::unix_ms,
    control::policy::{self, Classification},
    observe::{counters::Event, metrics::RequestLabels},
};

/// Header that names the request for the at-most-once promise.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the time in which the answer is of use, in milliseconds.
pub const REQUEST_TIMEOUT_HEADER: &str = "request-timeout-ms";
/// Header that names the target which answered.
pub const TARGET_HEADER: &str = "bamboowind-target";
/// Header of an answer that was kept from an earlier request.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

const FORWARDED_FOR_HEADER: &str = "x-forwarded-for";
const OTHER_GROUP: &str = "other";
/// How long the end of an answer waits for the home of its key to note the outcome.
const SETTLE_WAIT_MS: u64 = 200;
/// Pause between two searches for a slot at other agents.
const SEARCH_INTERVAL_MS: u64 = 2;
/// Pieces of a request's body on their way to the target.
const BODY_QUEUE_LEN: usize = 4;
const RETRY_WHILE_RUNNING_MS: u64 = 200;

type SendHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::SendStream, Bytes>;
type ReceiveHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::RecvStream, Bytes>;

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

/// What the agent knows of a request besides its content.
struct Context {
    connection: quinn::Connection,
    caller: SocketAddr,
    classification: Classification,
    key: Option<Key>,
    fingerprint: u64,
    start_by_ms: Option<u64>,
    arrived_at: Instant,
}

impl Context {
    fn ask(&self, start_by_ms: Option<u64>) -> Ask {
        Ask {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
            start_by_ms,
            long_stream: self.classification.long_stream,
        }
    }

    fn need(&self) -> Need {
        Need {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
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
        let context = match self.context(connection, &request) {
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

    fn context(
        &self,
        connection: quinn::Connection,
        request: &Request<()>,
    ) -> Result<Context, Problem> {
        let policy = self.shared.policy.current();
        let service = &self.shared.identity.service;
        let path = request.uri().path();
        let classification = policy::classify(&policy, service, request.method().as_str(), path);
        let timeout_ms = timeout_ms(request)?;
        Ok(Context {
            caller: connection.remote_address(),
            connection,
            classification,
            key: idempotency_key(request)?,
            fingerprint: fingerprint(request),
            start_by_ms: timeout_ms.map(|timeout_ms| self.shared.clock.now_ms() + timeout_ms),
            arrived_at: Instant::now(),
        })
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
                return (give_up(send, &problem).await, elapsed_ms(context));
            }
        };
        let queued_ms = elapsed_ms(context);
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
        answer: TargetAnswer,
        send: &mut SendHalf,
    ) -> Ending {
        let TargetAnswer { response, .. } = &answer;
        let mut head = Response::new(());
        *head.status_mut() = response.status();
        *head.headers_mut() = response.headers().clone();
        strip_connection_headers(head.headers_mut());
        let mut keeper = Keeper::new(context, &head);
        if let Ok(name) = HeaderValue::from_str(&self.shared.identity.name) {
            head.headers_mut().insert(TARGET_HEADER, name);
        }
        let mut is_caller_gone = send.send_response(head).await.is_err();
        let mut answer = answer;
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
            .record_request(labels, elapsed_ms(context), queued_ms);
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

/// Collects an answer so that it can be given again.
struct Keeper {
    answer: Option<KeptAnswer>,
    body: Vec<u8>,
    is_too_long: bool,
}

impl Keeper {
    fn new(context: &Context, head: &Response<()>) -> Self {
        let answer = context.key.as_ref().map(|_| KeptAnswer {
            status: head.status(),
            headers: head.headers().clone(),
            body: None,
        });
        Self {
            answer,
            body: Vec::new(),
            is_too_long: false,
        }
    }

    fn add(&mut self, data: &Bytes) {
        if self.answer.is_none() || self.is_too_long {
            return;
        }
        self.is_too_long = self.body.len() + data.len() > MAX_KEPT_BODY_LEN;
        if self.is_too_long {
            self.body = Vec::new();
        } else {
            self.body.extend_from_slice(data);
        }
    }

    fn into_outcome(self) -> Outcome {
        match self.answer {
            Some(mut answer) => {
                answer.body = (!self.is_too_long).then(|| self.body.into());
                Outcome::Answered(Arc::new(answer))
            }
            None => Outcome::Unknown,
        }
    }
}

fn outgoing_request(
    request: Request<()>,
    caller: SocketAddr,
    upload: Upload,
) -> Request<RequestBody> {
    let (mut parts, ()) = request.into_parts();
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(header::HOST, host);
    }
    if let Ok(address) = HeaderValue::from_str(&caller.ip().to_string()) {
        parts.headers.insert(FORWARDED_FOR_HEADER, address);
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse().unwrap_or_default();
    let mut outgoing = Request::new(body(&parts.method, &parts.headers, upload));
    *outgoing.method_mut() = parts.method;
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = parts.headers;
    outgoing
}

/// The request's body as the target gets it, piece by piece.
fn body(method: &Method, headers: &http::HeaderMap, upload: Upload) -> RequestBody {
    let is_without_body = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
        && !headers.contains_key(header::CONTENT_LENGTH);
    if is_without_body {
        tokio::spawn(discard(upload));
        return Empty::new().map_err(|never| match never {}).boxed();
    }
    let (sender, receiver) = mpsc::channel(BODY_QUEUE_LEN);
    tokio::spawn(pump(upload, sender));
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let piece: Option<Result<Bytes, std::io::Error>> = receiver.recv().await;
        piece.map(|piece| (piece, receiver))
    });
    BodyExt::boxed(StreamBody::new(frames.map(|piece| piece.map(Frame::data))))
}

/// The caller's side of a request. Dropping it early tells the caller that the rest of its body is
/// not needed, which is no failure of the request (RFC 9114 §4.1).
struct Upload(ReceiveHalf);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.stop_sending(Code::H3_NO_ERROR);
    }
}

/// Reads a body that the target does not get.
async fn discard(mut upload: Upload) {
    while let Ok(Some(_)) = upload.0.recv_data().await {}
}

/// Passes the caller's body on until it ends, the caller resets it or the target stops reading.
async fn pump(mut upload: Upload, sender: mpsc::Sender<Result<Bytes, std::io::Error>>) {
    loop {
        let piece = tokio::select! {
            received = upload.0.recv_data() => received,
            () = sender.closed() => return,
        };
        let piece = match piece {
            Ok(Some(mut data)) => Ok(data.copy_to_bytes(data.remaining())),
            Ok(None) => return,
            Err(error) => Err(std::io::Error::other(error.to_string())),
        };
        let is_last = piece.is_err();
        if sender.send(piece).await.is_err() || is_last {
            return;
        }
    }
}

async fn send_problem(send: &mut SendHalf, problem: &Problem) {
    // A caller that has left needs no answer.
    let _ = send_whole(send, problem.head(), problem.body().into()).await;
}

async fn send_whole(
    send: &mut SendHalf,
    head: Response<()>,
    body: Bytes,
) -> Result<(), h3::error::StreamError> {
    send.send_response(head).await?;
    if !body.is_empty() {
        send.send_data(body).await?;
    }
    send.finish().await
}

fn unknown_status(error: &DispatchError) -> StatusCode {
    match error {
        DispatchError::Timeout { .. } => StatusCode::GATEWAY_TIMEOUT,
        DispatchError::NotSent { .. } | DispatchError::Sent { .. } => StatusCode::BAD_GATEWAY,
    }
}

fn idempotency_key(request: &Request<()>) -> Result<Option<Key>, Problem> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let refuse = |detail| Err(Problem::not_run(StatusCode::BAD_REQUEST, detail));
    match Key::parse(value.to_str().unwrap_or_default(), unix_ms()) {
        Ok(key) => Ok(Some(key)),
        Err(KeyFault::NotUuid7) => refuse("idempotency-key must be a UUID of version 7"),
        Err(KeyFault::FromTheFuture) => {
            refuse("idempotency-key was made in the future; set the caller's clock")
        }
    }
}

fn timeout_ms(request: &Request<()>) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(REQUEST_TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let detail = format!("{REQUEST_TIMEOUT_HEADER} must be a whole number of milliseconds");
    match parsed {
        Some(timeout_ms) => Ok(Some(timeout_ms)),
        None => Err(Problem::not_run(StatusCode::BAD_REQUEST, detail)),
    }
}

fn fingerprint(request: &Request<()>) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.method().hash(&mut hasher);
    request.uri().path_and_query().hash(&mut hasher);
    request
        .headers()
        .get(header::CONTENT_LENGTH)
        .hash(&mut hasher);
    hasher.finish()
}

fn elapsed_ms(context: &Context) -> f64 {
    context.arrived_at.elapsed().as_secs_f64() * 1_000.0
}
