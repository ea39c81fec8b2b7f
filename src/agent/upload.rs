//! Conversion of a caller's request to the request sent to the target, and streaming of its body.

use std::net::SocketAddr;

use bytes::{Buf, Bytes};
use futures_util::{StreamExt, stream};
use h3::{error::Code, server::RequestStream};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::dispatch::{RequestBody, strip_hop_by_hop_headers};

const FORWARDED_FOR_HEADER: &str = "x-forwarded-for";
/// Maximum number of body chunks buffered between the caller and the target.
const BODY_QUEUE_LEN: usize = 4;

/// Receive half of a request stream.
type ReceiveHalf =
    RequestStream<<h3_quinn::BidiStream<Bytes> as h3::quic::BidiStream<Bytes>>::RecvStream, Bytes>;

/// Builds the request that is sent to the target.
pub(crate) fn outgoing_request(
    request: Request<()>,
    caller: SocketAddr,
    upload: Upload,
) -> Request<RequestBody> {
    let (mut parts, ()) = request.into_parts();
    strip_hop_by_hop_headers(&mut parts.headers);
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
    let mut outgoing = Request::new(request_body(&parts.method, &parts.headers, upload));
    *outgoing.method_mut() = parts.method;
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = parts.headers;
    outgoing
}

/// Builds a streaming body for the target, or an empty one for GET, HEAD and OPTIONS requests
/// without a content length.
fn request_body(method: &Method, headers: &HeaderMap, upload: Upload) -> RequestBody {
    let has_no_body = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
        && !headers.contains_key(header::CONTENT_LENGTH);
    if has_no_body {
        tokio::spawn(discard_body(upload));
        return Empty::new().map_err(|never| match never {}).boxed();
    }
    let (sender, receiver) = mpsc::channel(BODY_QUEUE_LEN);
    tokio::spawn(forward_body(upload, sender));
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let chunk: Option<Result<Bytes, std::io::Error>> = receiver.recv().await;
        chunk.map(|chunk| (chunk, receiver))
    });
    BodyExt::boxed(StreamBody::new(frames.map(|chunk| chunk.map(Frame::data))))
}

/// Receive half of a request stream, which carries the request body. Dropping it before the end of
/// the body asks the caller to stop sending, which is not an error of the request (RFC 9114 §4.1).
pub(crate) struct Upload(pub ReceiveHalf);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.stop_sending(Code::H3_NO_ERROR);
    }
}

/// Reads and discards a body that is not sent to the target.
async fn discard_body(mut upload: Upload) {
    while let Ok(Some(_)) = upload.0.recv_data().await {}
}

/// Forwards the caller's body until it ends, the caller resets the stream or the target stops
/// reading.
async fn forward_body(mut upload: Upload, sender: mpsc::Sender<Result<Bytes, std::io::Error>>) {
    loop {
        let chunk = tokio::select! {
            received = upload.0.recv_data() => received,
            () = sender.closed() => return,
        };
        let chunk = match chunk {
            Ok(Some(mut data)) => Ok(data.copy_to_bytes(data.remaining())),
            Ok(None) => return,
            Err(error) => Err(std::io::Error::other(error.to_string())),
        };
        let is_last = chunk.is_err();
        if sender.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}
