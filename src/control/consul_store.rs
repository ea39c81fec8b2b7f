//! The store adapter for the HTTP interface of Consul's key-value store.
//!
//! Values travel raw; `cas`, `index` and `wait` give compare-and-swap and long-poll watches, and
//! sessions give leases.

use std::{sync::Arc, time::Duration};

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::store::{Revision, Store, StoreError, SwapOutcome, Versioned};
use crate::settings::StoreSettings;

const INDEX_HEADER: &str = "x-consul-index";
/// Added to a watch's wait, since the store may answer up to a sixteenth late.
const WATCH_MARGIN_MS: u64 = 5_000;

/// A client of the store.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    client: Client,
    url: Arc<str>,
    request_timeout_ms: u64,
    watch_timeout_ms: u64,
}

/// A lease, which is a session with the key that it holds.
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
    /// Makes a client; no connection is opened yet.
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

    async fn read(&self, request: RequestBuilder) -> Result<Versioned, StoreError> {
        let response = request.send().await.map_err(unavailable)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(Versioned {
                revision: Revision::ABSENT,
                value: None,
            });
        }
        let response = succeeded(response)?;
        let entries: Vec<EntryReply> = response.json().await.map_err(unavailable)?;
        let entry = entries
            .into_iter()
            .next()
            .ok_or_else(|| unexpected("an empty list"))?;
        let value = entry.value.as_deref().map(decode_base64);
        Ok(Versioned {
            revision: Revision(entry.modify_index),
            value: Some(value.flatten().unwrap_or_default()),
        })
    }

    async fn flag(&self, request: RequestBuilder) -> Result<bool, StoreError> {
        let response = succeeded(request.send().await.map_err(unavailable)?)?;
        let text = response.text().await.map_err(unavailable)?;
        match text.trim() {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(unexpected(other)),
        }
    }

    /// Index to wait for when the key does not exist.
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

    async fn get(&self, key: &str) -> Result<Versioned, StoreError> {
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
        let is_swapped = self.flag(request).await?;
        Ok(if is_swapped {
            SwapOutcome::Swapped
        } else {
            SwapOutcome::Mismatch
        })
    }

    async fn watch(&self, key: &str, seen: Revision) -> Result<Versioned, StoreError> {
        let index = match seen {
            Revision::ABSENT => self.absent_index(key).await?,
            Revision(index) => index,
        };
        let wait = format!("{}ms", self.watch_timeout_ms);
        let timeout = Duration::from_millis(self.watch_timeout_ms + WATCH_MARGIN_MS);
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
        let response = succeeded(request.send().await.map_err(unavailable)?)?;
        let reply: SessionReply = response.json().await.map_err(unavailable)?;
        let lease = ConsulLease {
            session: reply.id.into(),
            key: key.into(),
        };
        let request = self
            .request(Method::PUT, &format!("kv/{key}"))
            .query(&[("acquire", lease.session.as_ref())])
            .body(holder.to_owned());
        if self.flag(request).await? {
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
        succeeded(response).map(|_| true)
    }

    async fn release_lease(&self, lease: &ConsulLease) -> Result<(), StoreError> {
        let request = self
            .request(Method::PUT, &format!("kv/{}", lease.key))
            .query(&[("release", lease.session.as_ref())]);
        self.flag(request).await?;
        self.destroy_session(lease).await
    }
}

impl ConsulStore {
    async fn destroy_session(&self, lease: &ConsulLease) -> Result<(), StoreError> {
        let path = format!("session/destroy/{}", lease.session);
        self.flag(self.request(Method::PUT, &path))
            .await
            .map(|_| ())
    }
}

fn succeeded(response: Response) -> Result<Response, StoreError> {
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

#[allow(clippy::needless_pass_by_value)] // The signature that map_err calls.
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
