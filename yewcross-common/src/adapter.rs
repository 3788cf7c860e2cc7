//! The ports through which another platform's clients, servers, operators and lists are spoken to.
//! The product's own JSON interface is one set; an adapter is another. A port translates; it
//! decides nothing and keeps nothing.

use crate::configuration::{Configuration, InvalidSetting};
use crate::error_code::Code;
use crate::protocol::ListedServer;
use bytes::Bytes;
use http::{HeaderMap, Response};

/// What a caller says of a request beside its method, target and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// The caller's own id of this try.
    pub attempt: String,
    /// ms that the caller will wait.
    pub deadline_ms: Option<u64>,
    pub program: String,
    pub session: String,
    /// ms until the whole program should be over.
    pub finish_ms: Option<u64>,
    /// Tokens that the program's turns together may put out.
    pub budget: Option<u64>,
    pub model: String,
    /// Tokens of the prompt, and the most that is put out.
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// Parts of the prompt in order, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// The turn it goes on from; empty for none.
    pub prev: String,
    /// Names the thing that it concerns: a server that saw it lately does the work faster. Empty
    /// for none.
    pub affinity: String,
}

pub trait Caller: Send + Sync {
    /// Reads the head; `Err` names the field that is wrong.
    fn request(&self, h: &HeaderMap) -> Result<RequestMeta, String>;
    /// An answer of our own; `retry_after_ms` tells when to come back, 0 for no word of it.
    fn refuse(&self, c: Code, why: &str, retry_after_ms: u64) -> Response<Bytes>;
}

/// What a back end's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMeta {
    /// The id of the try it answers.
    pub attempt: String,
    /// It carries the server's stamp.
    pub stamped: bool,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// Running, waiting, slots.
    pub load: Option<(u32, u32, u32)>,
    /// ms that it keeps an idle connection.
    pub idle_ms: Option<u64>,
    /// The server asks for the connection to end.
    pub closes: bool,
    pub weights: String,
}

pub trait UpstreamProtocol: Send + Sync {
    /// Adds what only the tier knows: whom it is meant for, what is left of its deadline, how
    /// urgent it is (0 first).
    fn dress(&self, h: &mut HeaderMap, to: &ListedServer, left_ms: u64, urgency: Option<u8>);
    /// Asks that a stream go on behind the event of this id.
    fn resume_after(&self, h: &mut HeaderMap, event_id: &[u8]);
    fn answer(&self, status: u16, h: &HeaderMap) -> AnswerMeta;
}

/// The platform's list of servers, page by page.
pub trait ServerCatalogue: Send + Sync {
    fn target(&self, page: Option<&str>) -> String;
    /// Servers on this page, and the next page.
    fn read(&self, body: &[u8]) -> Result<(Vec<ListedServer>, Option<String>), String>;
}

/// How an operator's text becomes a configuration.
pub trait ConfigurationFormat: Send + Sync {
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>>;
    /// The number that the operator gave the version; none where the tier numbers them itself.
    fn number(&self, text: &[u8]) -> Option<u64>;
}

/// The product's own: JSON, numbered by the tier.
pub struct NativeFormat;

impl ConfigurationFormat for NativeFormat {
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        Configuration::read(text)
    }
    fn number(&self, _: &[u8]) -> Option<u64> {
        None
    }
}
