//! The document that lists the model servers, as the platform shows them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A server on the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Name of the server.
    pub server: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it takes requests at.
    pub addr: SocketAddr,
    /// Site that it runs in.
    pub site: String,
    /// Whether it is draining: it takes no new jobs.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of all servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    /// The platform's revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Term of the singleton task's lease under which it was written.
    #[serde(default)]
    pub term: u64,
    /// The servers, of all services.
    pub servers: Vec<ListedServer>,
}
