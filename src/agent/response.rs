//! Sending of responses to the caller, and recording of responses for replay.

use std::sync::Arc;

use bytes::Bytes;
use h3::server::RequestStream;
use http::Response;

use super::{
    context::RequestContext,
    outcomes::{MAX_STORED_BODY_LEN, Outcome, StoredResponse},
    problem::Problem,
};

/// Send half of a request stream, which carries the response.
pub(crate) type SendHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::SendStream, Bytes>;

/// Sends an error response.
pub(crate) async fn send_problem(send: &mut SendHalf, problem: &Problem) {
    // Errors are ignored: a caller that has disconnected needs no response.
    let _ = send_full_response(send, problem.head(), problem.body().into()).await;
}

/// Sends a complete response with a body that is already in memory.
pub(crate) async fn send_full_response(
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

/// Records a response that is relayed to the caller, so that it can be replayed.
pub(crate) struct ResponseRecorder {
    /// `None` if the request has no idempotency key; nothing is recorded then.
    response: Option<StoredResponse>,
    body: Vec<u8>,
    /// Whether the body exceeds [`MAX_STORED_BODY_LEN`] and is no longer recorded.
    is_too_long: bool,
}

impl ResponseRecorder {
    pub fn new(context: &RequestContext, head: &Response<()>) -> Self {
        let response = context.idempotency_key.as_ref().map(|_| StoredResponse {
            status: head.status(),
            headers: head.headers().clone(),
            body: None,
        });
        Self {
            response,
            body: Vec::new(),
            is_too_long: false,
        }
    }

    pub fn record_chunk(&mut self, data: &Bytes) {
        if self.response.is_none() || self.is_too_long {
            return;
        }
        self.is_too_long = self.body.len() + data.len() > MAX_STORED_BODY_LEN;
        if self.is_too_long {
            self.body = Vec::new();
        } else {
            self.body.extend_from_slice(data);
        }
    }

    pub fn into_outcome(self) -> Outcome {
        match self.response {
            Some(mut response) => {
                response.body = (!self.is_too_long).then(|| self.body.into());
                Outcome::Answered(Arc::new(response))
            }
            None => Outcome::Unknown,
        }
    }
}
