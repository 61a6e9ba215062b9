//! An HTTP client for tests and benchmarks.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The whole answer to a call.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Returns the value of a header, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// An HTTP client with a connection pool, which only its clones share.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl TestClient {
    /// Sends a request to `address` with `host` as its host header, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns the text of the error if there is no complete answer.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<CallAnswer, String> {
        let uri = format!("http://{address}{path}");
        let mut request = Request::builder().method(method).uri(uri).header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
        let answer = self.client.request(request).await.map_err(|error| error.to_string())?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a `GET` request without further headers or a body, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`TestClient::call`].
    pub async fn get(
        &self,
        address: SocketAddr,
        host: &str,
        path: &str,
    ) -> Result<CallAnswer, String> {
        self.call(Method::GET, address, host, path, &[], Bytes::new()).await
    }
}
