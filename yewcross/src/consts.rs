//! Every constant of the tier, with its unit and its reason.

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

/// Versions of the frames between processes. Two speak the older of their newest, so that a tier can be upgraded
/// node by node. 2 added deltas of register changes and news by difference.
pub const WIRE_VERSION: u16 = 2;
pub const WIRE_OLDEST: u16 = 1;
pub const WIRE_DELTAS: u16 = 2;
/// Version of the files under the data folder.
pub const DISK_FORMAT: u32 = 1;

/// us. One probe per node per beat keeps detection near two seconds with few messages.
pub const PROBE_EVERY: u64 = 400 * MS;
/// beats. How often one address that is missed, a seed's or a removed node's, is asked again.
pub const REJOIN_BEATS: u64 = 3;
/// us. Sites sit about 1 ms apart; a scheduling hiccup must not look like a breakdown.
pub const PROBE_WAIT: u64 = 250 * MS;
/// count. Third parties asked when a direct probe is lost.
pub const PROBE_HELPERS: usize = 3;
/// us. Suspicion lasts this long before removal, so that a short freeze can be refuted.
pub const SUSPECT_FOR: u64 = 1_500 * MS;
/// us. What was heard of another's clock counts this long.
pub const CLOCK_KEPT: u64 = 60 * SEC;
/// count. Clocks, our own among them, that must be known before anything is erased: one alone can then not say when.
pub const CLOCKS: usize = 3;
/// us. A process this young outbids a node of its name that seems younger: that is its own last life, under a clock
/// that was ahead.
pub const YOUNG: u64 = 10 * SEC;
/// us. A removed or departed node is remembered this long, so that old gossip cannot revive it.
pub const GONE_KEPT: u64 = 120 * SEC;

/// us. Cap on one exchange between our processes on the serving path.
pub const PEER_WAIT: u64 = 700 * MS;
/// us. Opening a connection inside the tier.
pub const DIAL_WAIT: u64 = 300 * MS;
/// bytes. Largest frame accepted from a peer.
pub const FRAME_MAX: usize = 64 << 20;

/// count. Copies of each store key: one disk may be lost and the next change still lands on two.
pub const STORE_COPIES: usize = 3;
/// us. A disk that has not synced within this is treated as stalled for that exchange.
pub const SYNC_WAIT: u64 = 600 * MS;
/// us. An idle key's owner forgets its value after this, to bound memory.
pub const HELD_IDLE: u64 = 120 * SEC;
/// us. Pause between keys of the repair sweep.
pub const SWEEP_PAUSE: u64 = 20 * MS;
/// us. Rest between two whole sweeps.
pub const SWEEP_REST: u64 = 10 * SEC;

/// us. A front that has not heard "nothing newer" for this long stops serving.
pub const SERVE_LEASE: u64 = 1_200 * MS;
/// us. How often a front asks; three tries fit in a lease.
pub const SERVE_ASK: u64 = 300 * MS;
/// us. Longest time a configuration put waits for fronts before it says undecided.
pub const PUT_WAIT: u64 = 4 * SEC;
/// count. Versions of the configuration kept for going back, and for the lists of fronts not yet proved.
pub const PAST_KEPT: usize = 16;
/// us. Length of a duty lease as the granter counts it.
pub const DUTY_LEASE: u64 = 3 * SEC;
/// us. The holder counts itself out this much earlier.
pub const DUTY_MARGIN: u64 = 600 * MS;
/// us. How often a holder renews and others try.
pub const DUTY_RENEW: u64 = 800 * MS;

/// us. Poll of a back end's load report by its site's home node.
pub const REPORT_EVERY: u64 = 250 * MS;
/// count. Every so many polls a home tells all reports whole, for fronts that are new.
pub const NEWS_WHOLE: u64 = 4;
/// us. A report older than this counts for nothing in the occupancy judge.
pub const REPORT_STALE: u64 = 2 * SEC;
/// us. A server unheard for this long has no standing.
pub const REPORT_LOST: u64 = 1_500 * MS;
/// us. Poll of the platform list, unless the platform asks for more patience.
pub const LIST_EVERY: u64 = 500 * MS;
/// us. Waiting for a back end's identity or report.
pub const BACK_WAIT: u64 = 400 * MS;
/// us. Longest silence inside a stream before the shot is given up.
pub const PIECE_WAIT: u64 = 3 * SEC;

/// bytes. A turn's body; a long document fits, a flood does not.
pub const BODY_MAX: usize = 2 << 20;
/// bytes. A job's head.
pub const HEAD_MAX: u64 = 8 << 10;
/// us. A caller must finish its head within this.
pub const HEAD_WAIT: u64 = 5 * SEC;
/// us. And its body.
pub const BODY_WAIT: u64 = 5 * SEC;
/// us. An idle kept-alive connection is closed after this.
pub const IDLE_WAIT: u64 = 30 * SEC;
/// count. Open caller connections per front.
pub const CALLERS_MAX: usize = 4096;

/// bytes per token, for counting what has no tokenizer here.
pub const TOKEN_BYTES: usize = 4;
/// ms. Horizons outside these are refused as bad input.
pub const HORIZON_MIN: u64 = 10;
pub const HORIZON_MAX: u64 = 600_000;
/// us. No outcome is sent later than its horizon and this; a caller that reads too slowly is cut off then.
pub const HORIZON_LATE: u64 = 500 * MS;
/// us. Sending an outcome that has no horizon.
pub const ANSWER_WAIT: u64 = 10 * SEC;
/// ms. Ten years, the longest that a record may be kept.
pub const KEEP_MAX: u64 = 315_360_000_000;
/// Figures above which a server's report is not believed: slots or jobs, us a token or a thousand, tokens.
pub const REPORT_JOBS: u32 = 100_000;
pub const REPORT_US: u64 = 600 * SEC;
pub const REPORT_TOKENS: u64 = 1 << 50;
/// us. The longest that a platform's Retry-After is heeded.
pub const LIST_PATIENCE: u64 = 30 * SEC;
/// us. Kept back from a horizon for the commit and the way home.
pub const HORIZON_SPARE: u64 = 60 * MS;

/// percent of a horizon that a job may spend waiting before it is told to come back: the caller keeps most of its
/// time for another try, and the line holds only jobs that can still be served.
pub const PATIENCE: u64 = 40;
/// count. Passes after which a line's own pace is trusted.
pub const PACE_AFTER: u64 = 4;

/// count. Outcomes kept whole per session; older ones keep only their mark.
pub const OUTCOMES_KEPT: usize = 16;
/// count. Marks (job id and body digest) kept per session.
pub const MARKS_KEPT: usize = 1024;
/// count. Bare ids kept beyond the marks, and how many stand in one line of the record; a session that has used all is
/// full. A turn a second for 18 hours.
pub const OLD_KEPT: usize = 65_536;
pub const OLD_LINE: usize = 64;
/// count. Barred shots remembered per session; they come only from begins that failed.
pub const BARS_KEPT: usize = 64;
/// ms. A record that holds nothing but barred shots is kept this long: no frame is under way longer.
pub const BAR_KEPT: u64 = 600_000;
/// ms. A reservation this old is looked into.
pub const AUDIT_AFTER: u64 = 30_000;
/// us. A running job whose front is silent for this long past its horizon is closed as "may have run".
pub const RUN_GRACE: u64 = 2 * SEC;
/// count. Session histories kept on hand per front to save bytes between sites.
pub const HAND_SESSIONS: usize = 4096;

/// seconds. Come-back time when nothing better is known.
pub const BACK_SOON: u64 = 1;

/// tokens. The paper's threshold below which a prefix is cheap to prefill.
pub const KV_MIN_TOKENS: u64 = 8_192;
/// bytes per token of KV cache: 1 GB per 50,000 tokens in the paper.
pub const KV_TOKEN_BYTES: u64 = 20_000;
/// percent. Reuse from here up is a warm resume, and above KV_PARTLY partly warm.
pub const KV_WARM: u64 = 90;
pub const KV_PARTLY: u64 = 30;
/// us per 1,000 tokens: 2.8 s per 50,000 in the paper.
pub const KV_IMPORT_PER_K: u64 = 56 * MS;
/// us. Longest wait for a save or a push.
pub const KV_PUSH_WAIT: u64 = 20 * SEC;
/// count. Pushes a front has under way towards one server.
pub const KV_PUSH_LINES: usize = 2;
/// count. Session transfer records a front keeps, the shards they stand in, and the placed prefixes kept of each: the
/// home, the replica, and the home before.
pub const KV_RECORDS: usize = 8192;
pub const KV_SHARDS: usize = 8;
pub const KV_PLACES: usize = 3;
/// us. Longest wait for an import; no turn waits for one. 200,000 tokens take 11.2 s.
pub const KV_IMPORT_WAIT: u64 = 15 * SEC;
/// percent of a home's slots taken from which on its sessions' replicas are brought in ahead of need.
pub const KV_NEAR_FULL: u64 = 75;
/// us. Window over which a cache's turnover is taken, and how long a prefix brought in without need should stand: longer
/// than callers think between turns.
pub const KV_FLOW_OVER: u64 = 10 * SEC;
pub const KV_STANDS: u64 = 60 * SEC;
