//! Fetching of route tables from other instances, and serving of the local one to them.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use slog::{Logger, debug};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{flow::routes::RouteTable, proto::flow as wire};

/// Timeout of a fetch; covers several round trips between failure domains.
const FETCH_TIMEOUT_MS: u64 = 1_000;
/// Maximum length of an encoded route table, in bytes.
const MAX_TABLE_LEN: usize = 4 << 20;

/// Fetches the route table of the instance with control address `address`; `None` if the fetch
/// fails or times out.
pub async fn fetch(address: SocketAddrV4) -> Option<RouteTable> {
    let fetch = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let frame = framed(stream).next().await?.ok()?;
        let message = wire::RouteTable::decode(frame).ok()?;
        Some(RouteTable::from_message(message))
    };
    let timeout = Duration::from_millis(FETCH_TIMEOUT_MS);
    time::timeout(timeout, fetch).await.ok().flatten()
}

/// Sends the current route table to every client that connects.
pub async fn serve(listener: TcpListener, routes: watch::Receiver<Arc<RouteTable>>, log: Logger) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            time::sleep(Duration::from_millis(FETCH_TIMEOUT_MS)).await;
            continue;
        };
        let table = Arc::clone(&routes.borrow());
        let log = log.clone();
        tokio::spawn(async move {
            let frame: Bytes = table.to_message().encode_to_vec().into();
            let timeout = Duration::from_millis(FETCH_TIMEOUT_MS);
            let sent = time::timeout(timeout, framed(stream).send(frame)).await;
            debug!(log, "route fetch served"; "to" => %peer, "version" => table.version().number,
                "is_sent" => matches!(sent, Ok(Ok(()))));
        });
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_TABLE_LEN)
        .new_codec();
    Framed::new(stream, codec)
}
