//! The document with the list of model servers, as reported by the platform.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A server on the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Name of the server.
    pub server: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address at which the server accepts requests.
    pub addr: SocketAddr,
    /// Site that the server runs in.
    pub site: String,
    /// Whether the server is draining, and accepts no new jobs.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of all servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    /// The platform's revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Term of the singleton tasks' lease under which the list was written.
    #[serde(default)]
    pub term: u64,
    /// The servers of all services.
    pub servers: Vec<ListedServer>,
}
