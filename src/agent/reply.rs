//! The agent's side of a request: answers on their way to the caller.

use std::sync::Arc;

use bytes::Bytes;
use h3::server::RequestStream;
use http::Response;

use super::{
    context::Context,
    outcomes::{KeptAnswer, MAX_KEPT_BODY_LEN, Outcome},
    problem::Problem,
};

/// The half of a caller's stream that carries the answer.
pub(crate) type SendHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::SendStream, Bytes>;

/// Answers with a problem.
pub(crate) async fn send_problem(send: &mut SendHalf, problem: &Problem) {
    // A caller that has left needs no answer.
    let _ = send_whole(send, problem.head(), problem.body().into()).await;
}

/// Answers with a head and a short body.
pub(crate) async fn send_whole(
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

/// Collects an answer so that it can be given again.
pub(crate) struct Keeper {
    answer: Option<KeptAnswer>,
    body: Vec<u8>,
    is_too_long: bool,
}

impl Keeper {
    pub fn new(context: &Context, head: &Response<()>) -> Self {
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

    pub fn add(&mut self, data: &Bytes) {
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

    pub fn into_outcome(self) -> Outcome {
        match self.answer {
            Some(mut answer) => {
                answer.body = (!self.is_too_long).then(|| self.body.into());
                Outcome::Answered(Arc::new(answer))
            }
            None => Outcome::Unknown,
        }
    }
}
