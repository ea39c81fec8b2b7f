//! The client of an administration API, for the command line.

use std::{fs, path::PathBuf};

use reqwest::{Client, Method, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{ChangeReply, DrainRequest, Status};
use crate::{
    balancer::status::TargetStatus,
    cli::{ADMIN_VARIABLE, Access, TOKEN_VARIABLE},
    proto::policy::{ChangeRequest, Policy},
};

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The URL is not given.
    #[snafu(display("no administration API is given; use --admin URL or set BAMBOOWIND_ADMIN"))]
    NoUrl,
    /// The token is not given.
    #[snafu(display("no token is given; use --token-file FILE or set BAMBOOWIND_TOKEN"))]
    NoToken,
    /// The token cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadToken {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The API cannot be reached.
    #[snafu(display("cannot reach {url}: {source}; check that the process runs"))]
    Unreachable {
        /// The URL.
        url: String,
        /// The underlying error.
        source: reqwest::Error,
    },
    /// The API has refused the call.
    #[snafu(display("refused with {status}: {text}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Text of the answer.
        text: String,
    },
    /// The answer is not understood.
    #[snafu(display("the answer of {url} is not understood: {reason}; compare the versions"))]
    NotUnderstood {
        /// The URL.
        url: String,
        /// What is wrong.
        reason: String,
    },
}

/// A client of one administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client,
    url: String,
    token: String,
}

impl AdminClient {
    /// Makes a client from the command line and the environment.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the URL or the token is missing.
    pub fn new(access: &Access) -> Result<Self, ClientError> {
        let from_variable = std::env::var(ADMIN_VARIABLE).ok();
        let url = access.url.clone().or(from_variable).context(NoUrlSnafu)?;
        let token = match &access.token_file {
            Some(path) => fs::read_to_string(path).context(ReadTokenSnafu { path })?,
            None => std::env::var(TOKEN_VARIABLE).ok().context(NoTokenSnafu)?,
        };
        Ok(Self {
            client: Client::new(),
            url: url.trim_end_matches('/').to_owned(),
            token: token.trim().to_owned(),
        })
    }

    /// What the process has seen.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.read("/v1/status").await
    }

    /// The targets that the balancer knows.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn targets(&self) -> Result<Vec<TargetStatus>, ClientError> {
        self.read("/v1/targets").await
    }

    /// Drains a target or resumes it.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn drain(&self, name: &str, drain: bool) -> Result<TargetStatus, ClientError> {
        let path = format!("/v1/targets/{name}/drain");
        let response = self
            .send(Method::POST, &path, &DrainRequest { drain })
            .await?;
        self.decode(succeeded(response).await?).await
    }

    /// The policy in force.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn policy(&self) -> Result<Policy, ClientError> {
        self.read("/v1/policy").await
    }

    /// Asks for a change of the policy.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] when the call fails.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeReply, ClientError> {
        let response = self
            .send(Method::POST, "/v1/policy/changes", request)
            .await?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(refusal(response).await);
        }
        self.decode(response).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let request = self.client.get(format!("{}{path}", self.url));
        let response = request.bearer_auth(&self.token).send().await;
        let response = response.context(UnreachableSnafu { url: &self.url })?;
        self.decode(succeeded(response).await?).await
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
            .map_err(|error| ClientError::NotUnderstood {
                url: self.url.clone(),
                reason: error.to_string(),
            })
    }
}

async fn succeeded(response: Response) -> Result<Response, ClientError> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(refusal(response).await)
}

async fn refusal(response: Response) -> ClientError {
    let status = response.status();
    let text = response.text().await.unwrap_or_default().trim().to_owned();
    ClientError::Refused { status, text }
}
