//! The interfaces (ports) to a platform's clients, servers, operators and server list. The product's
//! own JSON interface is one implementation, an adapter to a platform another one. An implementation
//! translates; it takes no decisions and holds no state.

use crate::configuration::{Configuration, InvalidSetting};
use crate::error_code::Code;
use crate::protocol::ListedServer;
use bytes::Bytes;
use http::{HeaderMap, Response};

/// What a caller states about a request besides its method, target and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// The caller's own id of this attempt.
    pub attempt: String,
    /// ms that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// Name of the program that the request belongs to; empty for none.
    pub program: String,
    /// Id of the session within the program; empty for none.
    pub session: String,
    /// ms until the whole program should be over.
    pub program_deadline_ms: Option<u64>,
    /// Output tokens that the program's turns may use together.
    pub budget: Option<u64>,
    /// Name of the model that is asked for; empty for none.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Cap on the output in tokens.
    pub max_output_tokens: u64,
    /// Segments of the prompt in order: digest, and length in tokens.
    pub prompt_segments: Vec<(u64, u64)>,
    /// The turn that it continues; empty for none.
    pub previous_turn: String,
    /// Affinity key: a server that lately served a request of the same key is faster. Empty for
    /// none.
    pub affinity: String,
}

/// How callers state requests and read rejections.
pub trait CallerProtocol: Send + Sync {
    /// Reads the headers of a request; `Err` names the invalid one.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;
    /// A rejection by the tier. `retry_after_ms` says when a retry may help; 0 where it is not said.
    fn reject(&self, code: Code, why: &str, retry_after_ms: u64) -> Response<Bytes>;
}

/// What the headers of a server's response state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// The id of the attempt that it answers; empty where it is not stated.
    pub attempt: String,
    /// Whether it comes from the server itself, rather than from something in between.
    pub from_server: bool,
    /// Whether the server states that it did not execute the request.
    pub not_executed: bool,
    /// Jobs running, jobs waiting, and slots of the server.
    pub load: Option<(u32, u32, u32)>,
    /// ms for which the server keeps an idle connection.
    pub idle_ms: Option<u64>,
    /// Whether the server closes the connection after it.
    pub closes_connection: bool,
    /// Version of the model weights that it was computed by; empty where it is not stated.
    pub weights: String,
}

/// How requests are sent to servers and their responses read.
pub trait UpstreamProtocol: Send + Sync {
    /// Adds the headers that only the tier knows: the server that the request is meant for, the ms
    /// left until its deadline, and its urgency (0 is the highest).
    fn add_headers(
        &self,
        headers: &mut HeaderMap,
        to: &ListedServer,
        left_ms: u64,
        urgency: Option<u8>,
    );
    /// Adds the header that resumes a stream after the event of this id.
    fn resume_after(&self, headers: &mut HeaderMap, event_id: &[u8]);
    /// Reads the status and headers of a response.
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseMeta;
}

/// The platform's list of servers, which is read page by page.
pub trait ServerCatalogue: Send + Sync {
    /// The HTTP target of a page; of the first one for `None`.
    fn page_target(&self, page: Option<&str>) -> String;
    /// The servers on a page, and the next page if there is one; `Err` says what is malformed.
    fn parse_page(&self, body: &[u8]) -> Result<(Vec<ListedServer>, Option<String>), String>;
}

/// How an operator's text becomes a configuration.
pub trait ConfigurationFormat: Send + Sync {
    /// Reads and validates a configuration; `Err` lists all that is invalid.
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>>;
    /// The number that the operator gave the version; none where the tier numbers versions itself.
    fn number(&self, text: &[u8]) -> Option<u64>;
}

/// The product's own format: JSON, its versions numbered by the tier.
pub struct NativeFormat;

impl ConfigurationFormat for NativeFormat {
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        Configuration::read(text)
    }

    fn number(&self, _: &[u8]) -> Option<u64> {
        None
    }
}
