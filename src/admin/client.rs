//! Client of the administration API, used by the command line.

use std::{fs, path::PathBuf};

use reqwest::{Client, Method, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{ChangeReply, DrainRequest, Status};
use crate::{
    balancer::status::TargetStatus,
    cli::{ADMIN_TOKEN_ENV, ADMIN_URL_ENV, AdminOptions},
    proto::policy::{ChangeRequest, Policy},
};

/// Errors of calls to the administration API.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// Neither the option nor the environment variable gives the URL.
    #[snafu(display("no administration API is given; use --admin URL or set BAMBOOWIND_ADMIN"))]
    MissingUrl,
    /// Neither the option nor the environment variable gives the token.
    #[snafu(display(
        "no administration API token is given; use --token-file FILE or set BAMBOOWIND_TOKEN"
    ))]
    MissingToken,
    /// The token file cannot be read.
    #[snafu(display(
        "cannot read the token file {}: {source}; check the path and its permissions",
        path.display()
    ))]
    ReadToken {
        /// Path of the token file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The request could not be sent, or no response arrived.
    #[snafu(display(
        "cannot reach {url}: {source}; check the URL and that the process is running"
    ))]
    Unreachable {
        /// The URL.
        url: String,
        /// The underlying error.
        source: reqwest::Error,
    },
    /// The API responded with an error status.
    #[snafu(display("the request failed with status {status}: {text}"))]
    ErrorStatus {
        /// HTTP status of the response.
        status: StatusCode,
        /// Body of the response.
        text: String,
    },
    /// The response body is not the expected JSON.
    #[snafu(display(
        "cannot decode the response of {url}: {reason}; check that both run the same version"
    ))]
    InvalidResponse {
        /// The URL.
        url: String,
        /// Error of the JSON decoder.
        reason: String,
    },
}

/// Client of the administration API at one URL.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client,
    url: String,
    token: String,
}

impl AdminClient {
    /// Creates a client from command line options, with environment variables as the fallback.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the URL or the token is missing, or when the token file
    /// cannot be read.
    pub fn new(options: &AdminOptions) -> Result<Self, ClientError> {
        let from_env = std::env::var(ADMIN_URL_ENV).ok();
        let url = options.url.clone().or(from_env).context(MissingUrlSnafu)?;
        let token = match &options.token_file {
            Some(path) => fs::read_to_string(path).context(ReadTokenSnafu { path })?,
            None => std::env::var(ADMIN_TOKEN_ENV)
                .ok()
                .context(MissingTokenSnafu)?,
        };
        Ok(Self {
            client: Client::new(),
            url: url.trim_end_matches('/').to_owned(),
            token: token.trim().to_owned(),
        })
    }

    /// Fetches the status of the process.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.get("/v1/status").await
    }

    /// Fetches the targets that the balancer knows.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn targets(&self) -> Result<Vec<TargetStatus>, ClientError> {
        self.get("/v1/targets").await
    }

    /// Drains a target when `drain` is true, resumes it otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn drain(&self, name: &str, drain: bool) -> Result<TargetStatus, ClientError> {
        let path = format!("/v1/targets/{name}/drain");
        let response = self
            .send(Method::POST, &path, &DrainRequest { drain })
            .await?;
        self.decode(check_status(response).await?).await
    }

    /// Fetches the current policy.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn policy(&self) -> Result<Policy, ClientError> {
        self.get("/v1/policy").await
    }

    /// Requests a change of the policy.
    ///
    /// A rejected change is a [`ChangeReply`], not an error.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeReply, ClientError> {
        let response = self
            .send(Method::POST, "/v1/policy/changes", request)
            .await?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(error_from_response(response).await);
        }
        self.decode(response).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let request = self.client.get(format!("{}{path}", self.url));
        let response = request.bearer_auth(&self.token).send().await;
        let response = response.context(UnreachableSnafu { url: &self.url })?;
        self.decode(check_status(response).await?).await
    }

    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<Response, ClientError> {
        let request = self.client.request(method, format!("{}{path}", self.url));
        let response = request.bearer_auth(&self.token).json(body).send().await;
        response.context(UnreachableSnafu { url: &self.url })
    }

    async fn decode<T: DeserializeOwned>(&self, response: Response) -> Result<T, ClientError> {
        response
            .json()
            .await
            .map_err(|error| ClientError::InvalidResponse {
                url: self.url.clone(),
                reason: error.to_string(),
            })
    }
}

async fn check_status(response: Response) -> Result<Response, ClientError> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(error_from_response(response).await)
}

async fn error_from_response(response: Response) -> ClientError {
    let status = response.status();
    let text = response.text().await.unwrap_or_default().trim().to_owned();
    ClientError::ErrorStatus { status, text }
}
