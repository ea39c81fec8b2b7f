//! Tells the QUIC library when a socket can be written again.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use quinn::UdpPoller;

type Waiting<F> = Pin<Box<F>>;

/// Waits by a new future each time.
pub struct WritablePoller<M, F> {
    make_waiting: M,
    waiting: Option<Waiting<F>>,
}

impl<M, F> WritablePoller<M, F>
where
    M: Fn() -> F,
    F: Future<Output = io::Result<()>>,
{
    /// Makes a poller; `make_waiting` returns a future that ends when the socket has room.
    pub fn new(make_waiting: M) -> Self {
        Self {
            make_waiting,
            waiting: None,
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
        let make_waiting = &poller.make_waiting;
        let waiting = poller
            .waiting
            .get_or_insert_with(|| Box::pin(make_waiting()));
        let result = ready!(waiting.as_mut().poll(context));
        poller.waiting = None;
        Poll::Ready(result)
    }
}

impl<M, F> fmt::Debug for WritablePoller<M, F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("WritablePoller")
    }
}
