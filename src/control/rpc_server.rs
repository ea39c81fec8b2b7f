//! Server for requests from other bamboowind processes over framed streams.

use std::{sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

use crate::{
    proto::control::{InnerRequest, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

/// Time limit for receiving the challenge and the request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Delay after a failed `accept`, in milliseconds.
const ACCEPT_BACKOFF_MS: u64 = 10;
/// Connections handled concurrently; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 512;

/// Handles requests from other processes.
pub trait RpcService: Clone + Send + 'static {
    /// Handles one request and replies on the stream that it arrived on.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the stream fails.
    fn handle(
        &self,
        body: Body,
        stream: FramedStream,
    ) -> impl Future<Output = Result<(), FrameError>> + Send;
}

/// Accepts connections and spawns a task for each one; the listener closes when the future is
/// dropped.
pub async fn serve<S: RpcService>(listener: TcpListener, keys: SharedKeyRing, service: S) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            continue;
        };
        let (keys, service) = (keys.clone(), service.clone());
        tokio::spawn(async move {
            let accepting = accept_request(stream, keys);
            let accepted =
                time::timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), accepting).await;
            if let Ok(Ok((body, stream))) = accepted {
                // The client retries if its stream fails.
                let _ = service.handle(body, stream).await;
            }
            drop(permit);
        });
    }
}

async fn accept_request(
    stream: TcpStream,
    keys: SharedKeyRing,
) -> Result<(Body, FramedStream), FrameError> {
    // Disables Nagle's algorithm to send small frames at once; failure only adds latency.
    let _ = stream.set_nodelay(true);
    let mut framed = FramedStream::accept(stream, keys).await?;
    let request: InnerRequest = framed.receive().await?;
    match request.body {
        Some(body) => Ok((body, framed)),
        None => Err(FrameError::NotAuthentic),
    }
}
