//! The interfaces (ports) to a platform's clients, servers, operators and server list. The
//! product's own JSON interface is one implementation, an adapter to a platform another one. An
//! implementation only translates between formats: it makes no decisions and holds no state.

use crate::configuration::{Configuration, InvalidSetting};
use crate::error_code::Code;
use crate::protocol::ListedServer;
use bytes::Bytes;
use http::{HeaderMap, Response};

/// The metadata that a caller sends with a request besides its method, target and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// The caller's own id of this attempt.
    pub attempt: String,
    /// Time in ms that the caller will wait for the response.
    pub deadline_ms: Option<u64>,
    /// Name of the program that the request belongs to; empty if it belongs to none.
    pub program: String,
    /// Id of the session within the program; empty if there is none.
    pub session: String,
    /// Time in ms within which the entire program should finish.
    pub program_deadline_ms: Option<u64>,
    /// Total number of output tokens that the program's turns may use.
    pub budget: Option<u64>,
    /// Name of the requested model; empty if there is none.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Limit on the output in tokens.
    pub max_output_tokens: u64,
    /// Segments of the prompt in order, each with its digest and its length in tokens.
    pub prompt_segments: Vec<(u64, u64)>,
    /// Id of the turn that the request continues; empty if there is none.
    pub previous_turn: String,
    /// Affinity key: a server that has recently served a request with the same key is faster. Empty
    /// if there is none.
    pub affinity: String,
}

/// The protocol of callers: how requests are read and rejections are written.
pub trait CallerProtocol: Send + Sync {
    /// Parses the headers of a request; `Err` contains the name of the invalid header.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;
    /// Builds the response for a request that the tier rejects. `retry_after_ms` is the delay after
    /// which a retry may succeed; 0 if it is not stated.
    fn reject(&self, code: Code, reason: &str, retry_after_ms: u64) -> Response<Bytes>;
}

/// The metadata in the headers of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// Id of the attempt that the response belongs to; empty if it is not stated.
    pub attempt: String,
    /// Whether the response comes from the server itself instead of from an intermediary.
    pub from_server: bool,
    /// Whether the server states that it did not execute the request.
    pub not_executed: bool,
    /// Numbers of running jobs, queued jobs and slots of the server.
    pub load: Option<(u32, u32, u32)>,
    /// Time in ms for which the server keeps an idle connection open.
    pub idle_ms: Option<u64>,
    /// Whether the server closes the connection after the response.
    pub closes_connection: bool,
    /// Version of the model weights that the response was computed with; empty if it is not stated.
    pub weights: String,
}

/// The protocol of servers: how requests are written and responses are read.
pub trait UpstreamProtocol: Send + Sync {
    /// Adds the headers that the tier determines: the target server, the remaining time until the
    /// deadline in ms, and the urgency (0 is the highest).
    fn add_headers(
        &self,
        headers: &mut HeaderMap,
        server: &ListedServer,
        remaining_ms: u64,
        urgency: Option<u8>,
    );
    /// Adds the header that resumes a stream after the event with this id.
    fn resume_after(&self, headers: &mut HeaderMap, event_id: &[u8]);
    /// Parses the status and headers of a response.
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseMeta;
}

/// The format of the platform's server list, which is read page by page.
pub trait ServerCatalogue: Send + Sync {
    /// The HTTP target of a page; that of the first page for `None`.
    fn page_target(&self, page: Option<&str>) -> String;
    /// Parses a page into its servers and the token of the next page, if there is one; `Err`
    /// describes what is malformed.
    fn parse_page(&self, body: &[u8]) -> Result<(Vec<ListedServer>, Option<String>), String>;
}

/// The format of an operator's configuration.
pub trait ConfigurationFormat: Send + Sync {
    /// Parses and validates a configuration; `Err` lists all invalid settings.
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>>;
    /// The operator's number of the version; `None` if the tier numbers the versions.
    fn number(&self, text: &[u8]) -> Option<u64>;
}

/// The product's own format: JSON, with versions numbered by the tier.
pub struct NativeFormat;

impl ConfigurationFormat for NativeFormat {
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        Configuration::read(text)
    }

    fn number(&self, _: &[u8]) -> Option<u64> {
        None
    }
}
