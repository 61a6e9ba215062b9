//! Rejects requests to the control listener that carry no accepted secret, before their body is
//! read. The accepted secrets are in [`crate::secret`].

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::{StatusCode, header};
use http_body::Body as _;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::{Layer, Service};

use crate::counts::ControlCounts;
use crate::secret::LiveSecrets;

/// Adds the check of the secret to the server.
#[derive(Clone, Debug)]
pub(crate) struct AuthLayer {
    pub(crate) secrets: LiveSecrets,
    pub(crate) counts: Arc<ControlCounts>,
}

/// Checks the secret, and passes accepted requests on to the server's methods with their role.
#[derive(Clone, Debug)]
pub(crate) struct AuthService<S> {
    inner: S,
    layer: AuthLayer,
}

impl<S> Layer<S> for AuthLayer {
    type Service = AuthService<S>;

    fn layer(&self, inner: S) -> AuthService<S> {
        AuthService { inner, layer: self.clone() }
    }
}

impl<S> Service<HttpRequest> for AuthService<S>
where
    S: Service<HttpRequest, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: HttpRequest) -> Self::Future {
        let authorization = request.headers().get(header::AUTHORIZATION);
        let role = authorization.and_then(|value| self.layer.secrets.role(value.as_bytes()));
        let counts = Arc::clone(&self.layer.counts);
        let Some(role) = role else {
            counts.add_refused();
            let mut refusal = HttpResponse::new(HttpBody::empty());
            *refusal.status_mut() = StatusCode::UNAUTHORIZED;
            return Box::pin(async move { Ok(refusal) });
        };
        request.extensions_mut().insert(role);
        counts.add_received(request.body().size_hint().lower());
        let answer = self.inner.call(request);
        Box::pin(async move {
            let answer = answer.await?;
            counts.add_sent(answer.body().size_hint().lower());
            Ok(answer)
        })
    }
}
