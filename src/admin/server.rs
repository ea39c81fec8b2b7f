//! Serves an administration API and checks its token.

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
/// Paths that need no token.
const OPEN_PATHS: [&str; 3] = ["/health/live", "/health/ready", "/metrics"];

/// Why the API cannot be served.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// A served API, which ends when it is dropped.
pub struct AdminServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Serves `router` behind the token of the settings.
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
        let guarded = router.layer(middleware::from_fn_with_state(token, check_token));
        let task = tokio::spawn(async move {
            // The server ends only when its task is aborted.
            let _ = axum::serve(listener, guarded).await;
        });
        Ok(Self { address, task })
    }

    /// Address that the API is served on.
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
    let is_open = OPEN_PATHS.contains(&request.uri().path());
    let given = request.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER));
    if is_open || given.is_some_and(|given| is_equal(given, &token)) {
        return next.run(request).await;
    }
    (
        StatusCode::UNAUTHORIZED,
        "the bearer token is missing or wrong\n",
    )
        .into_response()
}

/// Compares hashes, so that the time taken tells nothing of the token.
fn is_equal(given: &str, token: &str) -> bool {
    blake3::hash(given.as_bytes()) == blake3::hash(token.as_bytes())
}
