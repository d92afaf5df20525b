//! The HTTP routes `/live`, `/ready` and `/metrics`, and a server for these and a
//! program's own routes.

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

/// The error of a web server that could not start or run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server could not listen on an address.
    Listen {
        /// Address to listen on.
        address: SocketAddr,
    },
    /// The server stopped with an error.
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

/// Registry of a process's metrics.
pub type Metrics = Arc<Mutex<Registry>>;

/// Routes for health and metrics, to be merged with a program's own.
pub fn routes(health: Health, metrics: Metrics) -> Router {
    Router::new()
        .route("/live", get(async || "live\n"))
        .route("/ready", get(ready))
        .with_state(health)
        .merge(Router::new().route("/metrics", get(exposition)).with_state(metrics))
}

/// Listens on an address. With port 0 the operating system chooses a free port.
///
/// # Errors
/// [`Failure::Listen`] if the address can't be used.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Failure>> {
    TcpListener::bind(address).await.change_context(Failure::Listen { address })
}

/// Serves routes until `stop` completes. Requests in progress are then finished.
///
/// # Errors
/// [`Failure::Serve`] if the server stops with an error.
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
