//! Fake network fabric that sprays the packets of a caller over the balancers at random.

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

/// The balancers that receive the packets sent to one service address. Clones share their state.
#[derive(Clone, Debug)]
pub struct Fabric {
    service_address: SocketAddr,
    balancers: Arc<RwLock<Vec<SocketAddr>>>,
    loss_percent: Arc<AtomicU32>,
}

impl Fabric {
    /// Creates a fabric without packet loss.
    ///
    /// Callers send to `service_address`, which need not exist on any network interface.
    #[must_use]
    pub fn new(service_address: SocketAddr, balancers: Vec<SocketAddr>) -> Self {
        Self {
            service_address,
            balancers: Arc::new(RwLock::new(balancers)),
            loss_percent: Arc::default(),
        }
    }

    /// Returns the address that callers send to.
    #[must_use]
    pub fn service_address(&self) -> SocketAddr {
        self.service_address
    }

    /// Replaces the balancers that receive packets.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Sets the percentage of packets from callers that are dropped at random.
    ///
    /// Packets to callers are not dropped.
    pub fn set_loss_percent(&self, loss_percent: u32) {
        self.loss_percent.store(loss_percent, Ordering::Relaxed);
    }

    /// Picks a random balancer for a packet, or `None` to drop the packet.
    fn pick_balancer(&self) -> Option<SocketAddr> {
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

    fn contains(&self, balancer: SocketAddr) -> bool {
        let balancers = self
            .balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        balancers.contains(&balancer)
    }
}

/// UDP socket of a caller, which sends every packet to a balancer that the fabric picks.
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
        let Some(balancer) = self.fabric.pick_balancer() else {
            return Ok(());
        };
        match self.io.try_send_to(packet.contents, balancer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other send error counts as packet loss.
            _ => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.poll_recv_ready(context))?;
            let received = self.io.try_io(Interest::READABLE, || {
                self.io.try_recv_from(&mut buffers[0])
            });
            let Ok((len, source)) = received else {
                continue;
            };
            // Balancers that were removed from the fabric may still send replies. They listen on
            // loopback addresses too, so every loopback source counts as the service.
            let is_from_service = self.fabric.contains(source) || source.ip().is_loopback();
            meta[0] = RecvMeta {
                addr: if is_from_service {
                    self.fabric.service_address
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
