//! Adapter that reports to the QUIC library when a socket becomes writable.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use quinn::UdpPoller;

type PendingFuture<F> = Pin<Box<F>>;

/// A [`UdpPoller`] that creates a future for each wait.
pub struct WritablePoller<M, F> {
    make_future: M,
    /// Future of the current wait; `None` if no wait is in progress.
    pending: Option<PendingFuture<F>>,
}

impl<M, F> WritablePoller<M, F>
where
    M: Fn() -> F,
    F: Future<Output = io::Result<()>>,
{
    /// Creates a poller. `make_future` returns a future that completes when the socket is writable.
    pub fn new(make_future: M) -> Self {
        Self {
            make_future,
            pending: None,
        }
    }
}

impl<M, F> UdpPoller for WritablePoller<M, F>
where
    M: Fn() -> F + Send + Sync + Unpin + 'static,
    F: Future<Output = io::Result<()>> + Send + Sync + 'static,
{
    fn poll_writable(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poller = self.get_mut();
        let make_future = &poller.make_future;
        let pending = poller
            .pending
            .get_or_insert_with(|| Box::pin(make_future()));
        let result = ready!(pending.as_mut().poll(context));
        poller.pending = None;
        Poll::Ready(result)
    }
}

impl<M, F> fmt::Debug for WritablePoller<M, F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("WritablePoller")
    }
}
