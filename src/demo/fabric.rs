//! The fabric: a caller's socket that hands each packet to a balancer drawn at random.

use std::{
    fmt,
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll, ready},
};

use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit},
};
use rand::seq::IndexedRandom;
use tokio::{io::Interest, net::UdpSocket};

use crate::wire::writable::WritablePoller;

const PERCENT: u32 = 100;

/// The balancers that stand behind one service's address.
#[derive(Clone, Debug)]
pub struct Fabric {
    service: SocketAddr,
    balancers: Arc<RwLock<Vec<SocketAddr>>>,
    loss_percent: Arc<AtomicU32>,
}

impl Fabric {
    /// Makes a fabric for the address that callers use.
    #[must_use]
    pub fn new(service: SocketAddr, balancers: Vec<SocketAddr>) -> Self {
        Self {
            service,
            balancers: Arc::new(RwLock::new(balancers)),
            loss_percent: Arc::default(),
        }
    }

    /// The address that callers use.
    #[must_use]
    pub fn service(&self) -> SocketAddr {
        self.service
    }

    /// Hands packets to other balancers from now on.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Loses this share of the callers' packets from now on, in percent.
    pub fn set_loss_percent(&self, loss_percent: u32) {
        self.loss_percent.store(loss_percent, Ordering::Relaxed);
    }

    /// Draws the balancer for a packet; `None` when the packet is lost.
    fn draw(&self) -> Option<SocketAddr> {
        let loss_percent = self.loss_percent.load(Ordering::Relaxed);
        if loss_percent > 0 && rand::random_range(0..PERCENT) < loss_percent {
            return None;
        }
        let balancers = self
            .balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        balancers.choose(&mut rand::rng()).copied()
    }

    fn has(&self, balancer: SocketAddr) -> bool {
        let balancers = self
            .balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        balancers.contains(&balancer)
    }
}

/// A caller's socket behind the fabric.
pub struct SpraySocket {
    io: UdpSocket,
    fabric: Fabric,
}

impl SpraySocket {
    /// Binds a socket on the loopback address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn bind(fabric: Fabric) -> io::Result<Self> {
        let io = UdpSocket::bind("127.0.0.1:0").await?;
        Ok(Self { io, fabric })
    }
}

impl AsyncUdpSocket for SpraySocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritablePoller::new(move || {
            let socket = Arc::clone(&self);
            async move { socket.io.writable().await }
        }))
    }

    fn try_send(&self, packet: &Transmit<'_>) -> io::Result<()> {
        let Some(balancer) = self.fabric.draw() else {
            return Ok(());
        };
        match self.io.try_send_to(packet.contents, balancer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // A packet that cannot be sent is lost like any other.
            _ => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        slots: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.poll_recv_ready(context))?;
            let received = self
                .io
                .try_io(Interest::READABLE, || self.io.try_recv_from(&mut slots[0]));
            let Ok((len, source)) = received else {
                continue;
            };
            // Packets of a balancer that was withdrawn still count as the service's.
            let is_service = self.fabric.has(source) || source.ip().is_loopback();
            meta[0] = RecvMeta {
                addr: if is_service {
                    self.fabric.service
                } else {
                    source
                },
                len,
                stride: len,
                ecn: None,
                dst_ip: None,
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }
}

impl fmt::Debug for SpraySocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SpraySocket")
    }
}
