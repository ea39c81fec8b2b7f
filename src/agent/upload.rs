//! The caller's side of a request on its way to the target.

use std::net::SocketAddr;

use bytes::{Buf, Bytes};
use futures_util::{StreamExt, stream};
use h3::{error::Code, server::RequestStream};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::dispatch::{RequestBody, strip_connection_headers};

const FORWARDED_FOR_HEADER: &str = "x-forwarded-for";
/// Pieces of a request's body on their way to the target.
const BODY_QUEUE_LEN: usize = 4;

type ReceiveHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::RecvStream, Bytes>;

/// Makes the request that the target gets.
pub(crate) fn outgoing_request(
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
fn body(method: &Method, headers: &HeaderMap, upload: Upload) -> RequestBody {
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
pub(crate) struct Upload(pub ReceiveHalf);

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
