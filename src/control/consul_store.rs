//! [`Store`] implementation for the HTTP API of Consul's key-value store.
//!
//! Compare-and-swap uses the `cas` parameter, watches are blocking queries with `index` and `wait`,
//! and leases are Consul sessions.

use std::{sync::Arc, time::Duration};

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::store::{Revision, Store, StoreError, SwapOutcome, VersionedValue};
use crate::settings::StoreSettings;

/// Response header with the index of the queried data.
const INDEX_HEADER: &str = "x-consul-index";
/// Added to the wait time of a watch to get its HTTP timeout, in milliseconds. Consul adds up to a
/// sixteenth of the wait time as jitter.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 5_000;

/// Client for a Consul agent.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    client: Client,
    url: Arc<str>,
    request_timeout_ms: u64,
    watch_timeout_ms: u64,
}

/// A Consul session and the key that it locks.
#[derive(Clone, Debug)]
pub struct ConsulLease {
    session: Arc<str>,
    key: Arc<str>,
}

#[derive(Deserialize)]
struct SessionReply {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
struct EntryReply {
    #[serde(rename = "ModifyIndex")]
    modify_index: u64,
    #[serde(rename = "Value")]
    value: Option<String>,
}

impl ConsulStore {
    /// Creates a client without opening a connection.
    #[must_use]
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            client: Client::new(),
            url: Arc::clone(&settings.url),
            request_timeout_ms: settings.request_timeout_ms,
            watch_timeout_ms: settings.watch_timeout_ms,
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}/v1/{path}", self.url);
        self.client
            .request(method, url)
            .timeout(Duration::from_millis(self.request_timeout_ms))
    }

    async fn read(&self, request: RequestBuilder) -> Result<VersionedValue, StoreError> {
        let response = request.send().await.map_err(unavailable)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(VersionedValue {
                revision: Revision::ABSENT,
                value: None,
            });
        }
        let response = check_status(response)?;
        let entries: Vec<EntryReply> = response.json().await.map_err(unavailable)?;
        let entry = entries
            .into_iter()
            .next()
            .ok_or_else(|| unexpected("an empty list"))?;
        let value = entry.value.as_deref().map(decode_base64);
        Ok(VersionedValue {
            revision: Revision(entry.modify_index),
            value: Some(value.flatten().unwrap_or_default()),
        })
    }

    /// Sends a request whose response body is `true` or `false`.
    async fn send_for_bool(&self, request: RequestBuilder) -> Result<bool, StoreError> {
        let response = check_status(request.send().await.map_err(unavailable)?)?;
        let text = response.text().await.map_err(unavailable)?;
        match text.trim() {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(unexpected(other)),
        }
    }

    /// Returns the index from which to watch a key that does not exist.
    async fn absent_index(&self, key: &str) -> Result<u64, StoreError> {
        let request = self.request(Method::GET, &format!("kv/{key}"));
        let response = request.send().await.map_err(unavailable)?;
        let index = response.headers().get(INDEX_HEADER);
        Ok(index
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .unwrap_or(1))
    }
}

impl Store for ConsulStore {
    type Lease = ConsulLease;

    async fn get(&self, key: &str) -> Result<VersionedValue, StoreError> {
        self.read(self.request(Method::GET, &format!("kv/{key}")))
            .await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        let request = self
            .request(Method::PUT, &format!("kv/{key}"))
            .query(&[("cas", expected.0)])
            .body(value.to_vec());
        let is_swapped = self.send_for_bool(request).await?;
        Ok(if is_swapped {
            SwapOutcome::Swapped
        } else {
            SwapOutcome::Mismatch
        })
    }

    async fn watch(&self, key: &str, last_seen: Revision) -> Result<VersionedValue, StoreError> {
        let index = match last_seen {
            Revision::ABSENT => self.absent_index(key).await?,
            Revision(index) => index,
        };
        let wait = format!("{}ms", self.watch_timeout_ms);
        let timeout = Duration::from_millis(self.watch_timeout_ms + WATCH_TIMEOUT_MARGIN_MS);
        let request = self
            .request(Method::GET, &format!("kv/{key}"))
            .query(&[("index", index.to_string()), ("wait", wait)])
            .timeout(timeout);
        self.read(request).await
    }

    async fn acquire_lease(
        &self,
        key: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> Result<Option<ConsulLease>, StoreError> {
        let body = json!({
            "Name": holder,
            "TTL": format!("{ttl_ms}ms"),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let request = self.request(Method::PUT, "session/create").json(&body);
        let response = check_status(request.send().await.map_err(unavailable)?)?;
        let reply: SessionReply = response.json().await.map_err(unavailable)?;
        let lease = ConsulLease {
            session: reply.id.into(),
            key: key.into(),
        };
        let request = self
            .request(Method::PUT, &format!("kv/{key}"))
            .query(&[("acquire", lease.session.as_ref())])
            .body(holder.to_owned());
        if self.send_for_bool(request).await? {
            return Ok(Some(lease));
        }
        self.destroy_session(&lease).await?;
        Ok(None)
    }

    async fn renew_lease(&self, lease: &ConsulLease) -> Result<bool, StoreError> {
        let path = format!("session/renew/{}", lease.session);
        let response = self
            .request(Method::PUT, &path)
            .send()
            .await
            .map_err(unavailable)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        check_status(response).map(|_| true)
    }

    async fn release_lease(&self, lease: &ConsulLease) -> Result<(), StoreError> {
        let request = self
            .request(Method::PUT, &format!("kv/{}", lease.key))
            .query(&[("release", lease.session.as_ref())]);
        self.send_for_bool(request).await?;
        self.destroy_session(lease).await
    }
}

impl ConsulStore {
    async fn destroy_session(&self, lease: &ConsulLease) -> Result<(), StoreError> {
        let path = format!("session/destroy/{}", lease.session);
        self.send_for_bool(self.request(Method::PUT, &path))
            .await
            .map(|_| ())
    }
}

/// Maps 5xx statuses to `Unavailable` and other unsuccessful statuses to `Unexpected`.
fn check_status(response: Response) -> Result<Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let reason = format!("status {status}");
    if status.is_server_error() {
        return Err(StoreError::Unavailable { reason });
    }
    Err(StoreError::Unexpected { reason })
}

#[allow(clippy::needless_pass_by_value)] // Signature required by `map_err`.
fn unavailable(error: reqwest::Error) -> StoreError {
    StoreError::Unavailable {
        reason: error.to_string(),
    }
}

fn unexpected(reason: &str) -> StoreError {
    StoreError::Unexpected {
        reason: reason.to_owned(),
    }
}

fn decode_base64(text: &str) -> Option<Vec<u8>> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).ok()
}
