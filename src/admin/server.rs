//! HTTP server of the administration API, with bearer token authentication.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    Router,
    extract::{Request, State},
    http::{StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::settings::AdminSettings;

const BEARER: &str = "Bearer ";
/// Paths that are served without a token.
const PUBLIC_PATHS: [&str; 3] = ["/health/live", "/health/ready", "/metrics"];

/// Errors of starting the server.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Bind {
        /// Address of the listener.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// A running server, which stops when it is dropped.
pub struct AdminServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Starts to serve `router` on the address and with the token of `settings`.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError`] when the address cannot be bound.
    pub async fn start(settings: &AdminSettings, router: Router) -> Result<Self, AdminError> {
        let listener = TcpListener::bind(settings.address)
            .await
            .context(BindSnafu {
                address: settings.address,
            })?;
        let address = listener.local_addr().unwrap_or(settings.address);
        let token = Arc::clone(&settings.token);
        let authenticated = router.layer(middleware::from_fn_with_state(token, check_token));
        let task = tokio::spawn(async move {
            // The server runs until its task is aborted, so there is no result to handle.
            let _ = axum::serve(listener, authenticated).await;
        });
        Ok(Self { address, task })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn check_token(State(token): State<Arc<str>>, request: Request, next: Next) -> Response {
    let is_public = PUBLIC_PATHS.contains(&request.uri().path());
    let presented = request.headers().get(header::AUTHORIZATION);
    let presented = presented.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER));
    if is_public || presented.is_some_and(|presented| tokens_match(presented, &token)) {
        return next.run(request).await;
    }
    (
        StatusCode::UNAUTHORIZED,
        "the bearer token is missing or wrong\n",
    )
        .into_response()
}

/// Compares hashes instead of the tokens, so that the response time leaks nothing about the token.
fn tokens_match(presented: &str, token: &str) -> bool {
    blake3::hash(presented.as_bytes()) == blake3::hash(token.as_bytes())
}
