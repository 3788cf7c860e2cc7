//! The mechanisms that take part in placing requests. All are enabled in a release; tests and
//! measurements disable single ones to determine the effect of each.

use strum::{EnumIter, EnumString, IntoEnumIterator};

/// A mechanism that influences how a request is placed or retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Prompts are placed on servers whose prefix cache holds segments of them.
    PrefixPlacement,
    /// A turn is placed on the server of the turn before it.
    PreviousServer,
    /// The cost of a prompt's tokens is estimated from the time until responses begin.
    #[strum(serialize = "learned-reading")]
    LearnedPromptCost,
    /// The cost of concurrent requests on a server is estimated from the event rate of streams.
    #[strum(serialize = "learned-crowding")]
    LearnedConcurrencyCost,
    /// Fronts exchange the number of requests that they have in progress.
    LoadExchange,
    /// The load that a server reports in its answers is taken into account.
    #[strum(serialize = "told-load")]
    ReportedLoad,
    /// The better of two random candidates is chosen, for services without a model engine.
    #[strum(serialize = "choice-of-two")]
    PowerOfTwoChoices,
    /// Requests with the same affinity key go to the same server, for services without a model
    /// engine.
    Affinity,
    /// Servers in the front's own zone have a lower cost.
    ZonePreference,
    /// Servers with an idle connection have a lower cost.
    #[strum(serialize = "kept-connection")]
    KeptConnectionPreference,
    /// Servers that have no free slot are not selected.
    #[strum(serialize = "full-servers")]
    FullServerAvoidance,
    /// The cache memory of a model server limits what it is sent.
    #[strum(serialize = "memory-bound")]
    MemoryLimit,
    /// The number of connections to one server is limited.
    #[strum(serialize = "connection-bound")]
    ConnectionLimit,
    /// Queued requests are admitted in the order of rank and time left.
    #[strum(serialize = "waiting-order")]
    QueuePriority,
    /// A request waits a short time for free capacity before it is rejected.
    #[strum(serialize = "patience")]
    QueueWait,
    /// A server that failed is not selected for a while.
    Ejection,
    /// A server that several other fronts have ejected is not selected either.
    SharedEjection,
    /// A server that has left requests unanswered for a long time is not selected.
    #[strum(serialize = "silence")]
    UnansweredEjection,
    /// A request is also sent to a second server if the first one does not respond in time.
    Hedging,
    /// Retries and hedged requests are limited to a share of the requests.
    RetryBudget,
    /// A resumable stream may be retried before its first event.
    StreamRetry,
    /// A broken stream is resumed on another server.
    Resumption,
    /// A stalled stream is resumed on another server too.
    StallDetection,
    /// Model servers are sent the urgency of requests.
    Urgency,
}

/// The set of enabled mechanisms.
#[derive(Clone, Copy, Debug)]
pub struct Policies(u64);

impl Policies {
    pub fn all() -> Policies {
        Policies(u64::MAX)
    }

    /// The same set without one mechanism.
    pub fn without(self, mechanism: Mechanism) -> Policies {
        Policies(self.0 & !(1 << mechanism as u64))
    }

    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u64) != 0
    }
}

impl Default for Policies {
    /// All mechanisms except those that the build excludes: `YEWCROSS_ABLATE` holds their names,
    /// separated by commas, at compile time. No setting of a running process changes them.
    fn default() -> Policies {
        let excluded = option_env!("YEWCROSS_ABLATE").unwrap_or_default();
        let is_excluded = |mechanism: &Mechanism| {
            excluded
                .split(',')
                .any(|name| name == mechanism.to_string())
        };
        Mechanism::iter()
            .filter(is_excluded)
            .fold(Policies::all(), Policies::without)
    }
}
