//! The names of the documents.

use std::fmt;

/// The name of a document. Its text form is the register key under which the document is decided,
/// the name on the wire and the name of its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentName {
    Configuration,
    Layout,
    ServerList,
}

impl DocumentName {
    /// Every document.
    pub const ALL: [DocumentName; 3] = [
        DocumentName::Configuration,
        DocumentName::Layout,
        DocumentName::ServerList,
    ];

    /// The text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            DocumentName::Configuration => "config",
            DocumentName::Layout => "layout",
            DocumentName::ServerList => "list",
        }
    }

    /// The document with this text form; `None` if there is none.
    pub fn parse(text: &str) -> Option<DocumentName> {
        DocumentName::ALL
            .into_iter()
            .find(|name| name.as_str() == text)
    }
}

impl fmt::Display for DocumentName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
