//! Which mechanisms take part in placing requests. All do in a release; tests and measurements
//! switch single ones off to see what each is worth.

use strum::{EnumIter, EnumString, IntoEnumIterator};

/// One mechanism that decides something about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Prompts go where their parts are held.
    PrefixPlacement,
    /// A turn goes on at the server of the turn before it.
    PreviousServer,
    /// The price of a prompt's tokens is learned from first events.
    #[strum(serialize = "learned-reading")]
    LearnedPromptCost,
    /// The price of requests under way beside it is learned from the pace of streams.
    #[strum(serialize = "learned-crowding")]
    LearnedConcurrencyCost,
    /// Fronts tell each other what they have under way.
    LoadExchange,
    /// What a server says of its load in its answers counts.
    #[strum(serialize = "told-load")]
    ReportedLoad,
    /// Two candidates at random, and the better one, where a service is no model.
    #[strum(serialize = "choice-of-two")]
    PowerOfTwoChoices,
    /// Requests that concern the same thing go to the same server of a service that is no model.
    Affinity,
    /// Servers of our own zone cost less.
    ZonePreference,
    /// Servers with a kept connection cost less.
    #[strum(serialize = "kept-connection")]
    KeptConnectionPreference,
    /// A full server is passed by.
    #[strum(serialize = "full-servers")]
    FullServerAvoidance,
    /// The memory of a model server bounds what it is sent.
    #[strum(serialize = "memory-bound")]
    MemoryLimit,
    /// Connections to one server are bounded.
    #[strum(serialize = "connection-bound")]
    ConnectionLimit,
    /// Those who wait for a place are let in by rank and time left.
    #[strum(serialize = "waiting-order")]
    QueuePriority,
    /// A request waits a moment for a place before it is refused.
    #[strum(serialize = "patience")]
    QueueWait,
    /// A server that failed is left alone for a while.
    Ejection,
    /// So is one that several other fronts leave alone.
    SharedEjection,
    /// A server that owes answers for long is left alone.
    #[strum(serialize = "silence")]
    UnansweredEjection,
    /// A second server is asked where the first one is silent.
    Hedging,
    /// Second attempts are bounded by a share of the first ones.
    RetryBudget,
    /// A stream that may be resumed counts as repeatable before its first event.
    StreamRetry,
    /// A stream that broke off is taken up at another server.
    Resumption,
    /// So is one that stalls.
    StallDetection,
    /// Urgency is told to model servers.
    Urgency,
}

/// The mechanisms that take part.
#[derive(Clone, Copy, Debug)]
pub struct Policies(u64);

impl Policies {
    pub fn all() -> Policies {
        Policies(u64::MAX)
    }

    pub fn without(self, mechanism: Mechanism) -> Policies {
        Policies(self.0 & !(1 << mechanism as u64))
    }

    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u64) != 0
    }
}

impl Default for Policies {
    /// All but those that the build was told to leave out: `YEWCROSS_ABLATE` holds their names,
    /// joined by commas, while it is compiled. No setting of a running process changes them.
    fn default() -> Policies {
        let ablated = option_env!("YEWCROSS_ABLATE").unwrap_or_default();
        let is_named = |m: &Mechanism| ablated.split(',').any(|name| name == m.to_string());
        Mechanism::iter()
            .filter(is_named)
            .fold(Policies::all(), Policies::without)
    }
}
