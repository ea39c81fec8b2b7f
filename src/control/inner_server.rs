//! Answers what other processes ask over framed streams.

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

const OPEN_TIMEOUT_MS: u64 = 2_000;
const ACCEPT_BACKOFF_MS: u64 = 10;
const MAX_CONCURRENT_STREAMS: usize = 512;

/// Answers the requests of other processes.
pub trait InnerService: Clone + Send + 'static {
    /// Answers one request on the stream that it came on.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] when the stream fails.
    fn answer(
        &self,
        body: Body,
        stream: FramedStream,
    ) -> impl Future<Output = Result<(), FrameError>> + Send;
}

/// Accepts streams for as long as it is polled.
pub async fn serve<S: InnerService>(listener: TcpListener, keys: SharedKeyRing, service: S) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_STREAMS));
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
            let opening = open(stream, keys);
            let opened = time::timeout(Duration::from_millis(OPEN_TIMEOUT_MS), opening).await;
            if let Ok(Ok((body, stream))) = opened {
                // An asker whose stream fails asks again.
                let _ = service.answer(body, stream).await;
            }
            drop(permit);
        });
    }
}

async fn open(stream: TcpStream, keys: SharedKeyRing) -> Result<(Body, FramedStream), FrameError> {
    // Small frames must not wait for more data; a failure costs only time.
    let _ = stream.set_nodelay(true);
    let mut framed = FramedStream::accept(stream, keys).await?;
    let request: InnerRequest = framed.receive().await?;
    match request.body {
        Some(body) => Ok((body, framed)),
        None => Err(FrameError::NotAuthentic),
    }
}
