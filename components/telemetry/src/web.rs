//! `/live`, `/ready` and `/metrics`, and a server for them and a program's own
//! routes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Router, extract::State};
use error_stack::{Report, ResultExt};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::health::Health;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A web server that could not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The address could not be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The server ended with an error.
    Serve,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => write!(f, "could not listen on {address}"),
            Self::Serve => f.write_str("the web server ended with an error"),
        }
    }
}

impl std::error::Error for Failure {}

/// Metrics of a process.
pub type Metrics = Arc<Mutex<Registry>>;

/// Routes for health and metrics, to be merged with a program's own.
pub fn routes(health: Health, metrics: Metrics) -> Router {
    Router::new()
        .route("/live", get(async || "live\n"))
        .route("/ready", get(ready))
        .with_state(health)
        .merge(Router::new().route("/metrics", get(exposition)).with_state(metrics))
}

/// Listens on an address; port 0 takes a free one.
///
/// # Errors
/// [`Failure::Listen`].
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Failure>> {
    TcpListener::bind(address).await.change_context(Failure::Listen { address })
}

/// Serves routes until `stop` completes; answers in flight are finished.
///
/// # Errors
/// [`Failure::Serve`].
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), Report<Failure>> {
    let served = axum::serve(listener, routes).with_graceful_shutdown(stop);
    served.await.change_context(Failure::Serve)
}

async fn ready(State(health): State<Health>) -> impl IntoResponse {
    if health.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn exposition(State(metrics): State<Metrics>) -> impl IntoResponse {
    let mut text = String::new();
    let registry = metrics.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let status = match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => StatusCode::OK,
        Err(fmt::Error) => StatusCode::INTERNAL_SERVER_ERROR,
    };
    (status, [(header::CONTENT_TYPE, METRICS_TYPE)], text)
}
