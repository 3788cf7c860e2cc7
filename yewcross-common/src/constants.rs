//! Every constant of the tier, with its unit and its reason.

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

/// Versions of the frames between processes. Two speak the older of their newest, so that a tier
/// can be upgraded node by node. 2 added deltas of register changes and news by difference, 3
/// register requests and answers that name the disk they are meant for and come from.
pub const WIRE_VERSION: u16 = 3;
pub const WIRE_OLDEST: u16 = 1;
pub const WIRE_DELTAS: u16 = 2;
pub const WIRE_NAMED_DISKS: u16 = 3;
/// Version of the files under the data folder.
pub const DISK_FORMAT: u32 = 1;

/// us. One probe per node per beat keeps detection near two seconds with few messages.
pub const PROBE_EVERY: u64 = 400 * MS;
/// beats. How often one address that is missed, a seed's or a removed node's, is asked again.
pub const REJOIN_BEATS: u64 = 3;
/// count. Addresses that a node which knows nobody asks at once.
pub const SEEDS_AT_ONCE: usize = 6;
/// us. Addresses of known nodes are written to disk no more often.
pub const PEERS_KEPT: u64 = 3 * SEC;
/// us. A node that knows nobody asks its seeds this often.
pub const SEED_EVERY: u64 = 150 * MS;
/// us. Changes this young are told along with a probe.
pub const NEWS_YOUNG: u64 = 8 * SEC;
/// count. And so many at most: more than that, and whole tables are swapped.
pub const NEWS_MOST: usize = 12;
/// us. Sites sit about 1 ms apart; a scheduling hiccup must not look like a breakdown.
pub const PROBE_WAIT: u64 = 250 * MS;
/// count. Third parties asked when a direct probe is lost.
pub const PROBE_HELPERS: usize = 3;
/// us. Suspicion lasts this long before removal, so that a short freeze can be refuted.
pub const SUSPECT_FOR: u64 = 1_500 * MS;
/// us. What was heard of another's clock counts this long.
pub const CLOCK_KEPT: u64 = 60 * SEC;
/// count. Clocks, our own among them, that must be known before anything is erased: one alone can
/// then not say when.
pub const CLOCKS: usize = 3;
/// us. A process this young outbids a node of its name that seems younger: that is its own last
/// life, under a clock that was ahead.
pub const YOUNG: u64 = 10 * SEC;
/// us. A node that starts does not log each member that it meets this long; it then logs how many
/// it knows.
pub const MEMBERS_QUIET: u64 = 3 * SEC;
/// us. A removed or departed node is remembered this long, so that old gossip cannot revive it.
pub const GONE_KEPT: u64 = 120 * SEC;

/// us. Cap on one exchange between our processes on the serving path.
pub const PEER_WAIT: u64 = 700 * MS;
/// us. A connection on which nothing came for this long after a question is left for a new one.
pub const LINK_DOUBT: u64 = 200 * MS;
/// us. Opening a connection inside the tier.
pub const DIAL_WAIT: u64 = 300 * MS;
/// us. A link of our own whose bytes are not acknowledged is given up: sooner than the usual 3 s in
/// which a machine counts as in touch again.
pub const LINK_SILENT: u64 = 2 * SEC;
/// us. Any other connection: it may outlive a short cut, but not the time in which another server
/// would answer.
pub const SILENT: u64 = 5 * SEC;
/// us. A connection we opened is asked for life after this long without a byte, and again as often.
pub const SILENT_ASK: u64 = SEC;
/// count. New connections that may wait to be accepted: a burst of all callers of a front while a
/// turn is computed.
pub const BACKLOG: i32 = 1024;
/// count. Threads that may wait for the disk at once.
pub const DISK_HANDS: usize = 4;
/// bytes. Read from a link at once: several frames of usual size.
pub const LINK_READ: usize = 16 << 10;
/// bytes. Largest frame accepted from a peer.
pub const FRAME_MAX: usize = 64 << 20;

/// count. ReplicaSet of each store key: one disk may be lost and the next change still lands on
/// two.
pub const STORE_COPIES: usize = 3;
/// us. A disk that has not synced within this is treated as stalled for that exchange.
pub const SYNC_WAIT: u64 = 600 * MS;
/// count. Folders that the register copies of a disk are spread over, by the hash of their key.
pub const KEY_SHARDS: usize = 64;
/// us. A failed disk is tried this often: five tries a second cost little, and a loss that ends is
/// soon over.
pub const DISK_RETRY: u64 = 200 * MS;
/// bytes. Written to try a failed disk: more than a register's or a document's usual file.
pub const DISK_PROBE: usize = 64 << 10;
/// count. Times that a reader looks at copies that differ before it takes the key and repairs them.
pub const READ_LOOKS: usize = 4;
/// us. Between two looks, up to twice this: an owner's write reaches a majority within a few ms.
pub const READ_LOOK_AGAIN: u64 = 10 * MS;
/// us. A reader that does not propose looks at the copies for this long, and then gives the
/// proposer as long to answer.
pub const LOOKS_WITHIN: u64 = 400 * MS;
/// us. An operator that reads the configuration back is answered within this: it goes on to another
/// node after a second.
pub const READ_BACK_WITHIN: u64 = 850 * MS;
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
/// count. Versions of the configuration kept for going back, and for the lists of fronts not yet
/// proved.
pub const PAST_KEPT: usize = 16;
/// count. Digests of operators' orders kept whatever their age, so that an order sent again after
/// it was superseded is still known.
pub const ORDERS_KEPT: usize = 64;
/// count. And at most so many, whatever their age: 90 bytes each make 46 KB, written and synced
/// with each order.
pub const ORDERS_KEPT_MOST: usize = 512;
/// ms. Digests younger than this are kept, or than `ORDERS_KEPT_ACKS` times the time for an answer,
/// if that is longer.
pub const ORDERS_KEPT_MS: u64 = 30_000;
/// count. An operator whose answer was lost has given up, or has been answered, within so many
/// times the time for one.
pub const ORDERS_KEPT_ACKS: u64 = 4;
/// us. A seat whose machine is missing this long is given to a disk that has none.
pub const SEAT_MISSING: u64 = 1_500 * MS;
/// us. A seat whose machine is missing this long, and that no disk takes, is given up while enough
/// remain: the next loss would else be one too many.
pub const SEAT_LOST: u64 = 8 * SEC;
/// us. Founding waits this long for more store machines than the fewest that may be.
pub const FOUND_WAIT: u64 = 500 * MS;
/// us. How often a change of disks under way is looked at: short beside the time in which a seat
/// should be whole.
pub const MOVE_LOOK: u64 = 60 * MS;
/// us. How often the seats are looked at while a machine of theirs is missing.
pub const SEATS_LOOK: u64 = 200 * MS;
/// us. A step of a change that could not be done is tried again after this.
pub const STEP_AGAIN: u64 = 100 * MS;
/// us. Longest time to decide one step of a change: a newer layout is then looked for.
pub const STEP_WAIT: u64 = 300 * MS;
/// us. Longest wait for a disk's report of a change: the dead are not waited for longer.
pub const SEAT_REPORT_WAIT: u64 = 350 * MS;
/// us. Length of a grant of the duty lease, on the granter's clock. Whoever takes over from a
/// holder that is lost waits for it.
pub const LEASE_LENGTH: u64 = SEC;
/// us. The holder counts itself out this much earlier: two clocks may run apart by a tenth.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// us. How often the holder asks for more: several rounds may be lost.
pub const LEASE_RENEW: u64 = 200 * MS;
/// us. Waiting for one granter. With `UNCONFIRMED_ROUNDS` rounds under way, no slower answer could
/// count.
pub const LEASE_WAIT: u64 = 400 * MS;
/// us. An operator at a core that no majority answers is told so within this, well before it goes
/// on by itself.
pub const QUORUM_WAIT: u64 = 300 * MS;
/// us. A core without contact asks the seats again after this, doubled each time it is left short.
pub const CONTACT_AGAIN: u64 = 25 * MS;
/// us. A holder of the lease that has not taken the documents within this gives it up: it cannot
/// decide anything, and another one may.
pub const FENCE_WITHIN: u64 = 1_500 * MS;
/// us. And it does not stand again for this long.
pub const UNFIT_FOR: u64 = 3 * SEC;
/// us. An order that finds no proposer looks for one again after this, up to twice as long.
pub const PROPOSER_AGAIN: u64 = 30 * MS;
/// count. Orders that wait at the proposer at most: each takes some 10 ms on a tenth of a core, and
/// an operator waits a second.
pub const ORDERS_WAITING: usize = 64;
/// us. Between two rounds of sending a document to all nodes; versions decided meanwhile travel as
/// one.
pub const PUSH_EVERY: u64 = 100 * MS;
/// us. A core that has heard of a newer document than it holds waits this long for the push before
/// it looks for it, doubled each time it finds none.
pub const DOCUMENT_LATE: u64 = 150 * MS;
pub const DOCUMENT_LATE_MOST: u64 = 1_200 * MS;
/// us. How often a core compares what it holds with what it has heard of.
pub const DOCUMENT_LOOK: u64 = 75 * MS;
/// us. Candidates step forward one after another, so far apart that the first has its majority
/// before the second asks.
pub const LEASE_STAGGER: u64 = 40 * MS;
/// us. A candidate that got no majority waits at least this long, and up to as much again by
/// chance.
pub const LEASE_RETRY: u64 = 150 * MS;

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
/// us. Poll of a platform's list in its own words: each page is a call that has its price.
pub const PAGES_EVERY: u64 = SEC;
/// us. A list that was read before its reader may decide is read again after this.
pub const DECIDE_AGAIN: u64 = 250 * MS;
/// us. The longest that a refused poll of it backs off to.
pub const PAGES_BACK_OFF: u64 = 8 * SEC;
/// us. Waiting for one page.
pub const PAGE_WAIT: u64 = 1_500 * MS;
/// count. Pages of the platform's list read in one poll; a list without end is no list.
pub const LIST_PAGES: usize = 256;
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
/// us. No outcome is sent later than its horizon and this; a caller that reads too slowly is cut
/// off then.
pub const HORIZON_LATE: u64 = 500 * MS;
/// us. Sending an outcome that has no horizon.
pub const ANSWER_WAIT: u64 = 10 * SEC;
/// ms. Ten years, the longest that a record may be kept.
pub const KEEP_MAX: u64 = 315_360_000_000;
/// Figures above which a server's report is not believed: slots or jobs, us a token or a thousand,
/// tokens.
pub const REPORT_JOBS: u32 = 100_000;
pub const REPORT_US: u64 = 600 * SEC;
pub const REPORT_TOKENS: u64 = 1 << 50;
/// us. The longest that a platform's Retry-After is heeded.
pub const LIST_PATIENCE: u64 = 30 * SEC;
/// us. Kept back from a horizon for the commit and the way home.
pub const HORIZON_SPARE: u64 = 60 * MS;

/// percent of a horizon that a job may spend waiting before it is told to come back: the caller
/// keeps most of its time for another try, and the line holds only jobs that can still be served.
pub const PATIENCE: u64 = 40;
/// count. Passes after which a line's own pace is trusted.
pub const PACE_AFTER: u64 = 4;

/// count. Outcomes kept whole per session; older ones keep only their mark.
pub const OUTCOMES_KEPT: usize = 16;
/// count. Marks (job id and body digest) kept per session.
pub const MARKS_KEPT: usize = 1024;
/// count. Bare ids kept beyond the marks, and how many stand in one line of the record; a session
/// that has used all is full. A turn a second for 18 hours.
pub const OLD_KEPT: usize = 65_536;
pub const OLD_LINE: usize = 64;
/// count. Barred shots remembered per session; they come only from begins that failed.
pub const BARS_KEPT: usize = 64;
/// ms. A record that holds nothing but barred shots is kept this long: no frame is under way
/// longer.
pub const BAR_KEPT: u64 = 600_000;
/// ms. A reservation this old is looked into.
pub const AUDIT_AFTER: u64 = 30_000;
/// us. A running job whose front is silent for this long past its horizon is closed as "may have
/// run".
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
/// count. Session transfer records a front keeps, the shards they stand in, and the placed prefixes
/// kept of each: the home, the replica, and the home before.
pub const KV_RECORDS: usize = 8192;
pub const KV_SHARDS: usize = 8;
pub const KV_PLACES: usize = 3;
/// us. Longest wait for an import; no turn waits for one. 200,000 tokens take 11.2 s.
pub const KV_IMPORT_WAIT: u64 = 15 * SEC;
/// percent of a home's slots taken from which on its sessions' replicas are brought in ahead of
/// need.
pub const KV_NEAR_FULL: u64 = 75;
/// us. Window over which a cache's turnover is taken, and how long a prefix brought in without need
/// should stand: longer than callers think between turns.
pub const KV_FLOW_OVER: u64 = 10 * SEC;
pub const KV_STANDS: u64 = 60 * SEC;

/// us. How long a door that closes, and an idle connection behind it, still look for what was sent
/// before: about one way through a region.
pub const LAST_LOOK: u64 = 50 * MS;
/// us. A store asked to keep something that has not answered by then is joined by another: ten
/// times a slow disk's sync.
pub const CHAIN_SPARE: u64 = 250 * MS;
/// count of CHAIN_SPARE. An owner that has said nothing to anyone here for so long is passed by,
/// before membership is sure: a turn's opening has a second.
pub const CHAIN_MUTE: usize = 2;
/// us. A store that let somebody wait that long is asked last for so long: until membership has
/// judged it.
pub const CHAIN_SLOW: u64 = 2 * SEC;
/// us. Asking again after every store said that it cannot now, doubled by chance.
pub const CHAIN_AGAIN: u64 = 20 * MS;
/// us. How long what a turn used is told again by itself; after that it counts at its most.
pub const CHAIN_SETTLE: u64 = 60 * SEC;
/// us. Before a program is refused, its owner asks the other disks what ended, unless it did so
/// just now.
pub const CHAIN_FRESH: u64 = 300 * MS;
/// ms. A program's ledger is kept this long after its last change at least.
pub const LEDGER_KEPT: u64 = 300_000;
/// ms. Turns and ledgers are kept this much past their time, for clocks that differ; the shorter
/// where memory is short.
pub const CHAIN_MARGIN: u64 = 60_000;
pub const CHAIN_MARGIN_SHORT: u64 = 5_000;
/// us. How often what is over is looked for.
pub const CHAIN_TIDY: u64 = 2 * SEC;
/// bytes. A segment of a store's log; a new one costs one more sync.
pub const SEGMENT: u64 = 8 << 20;
/// bytes. What the log may hold beyond one and a half times what lives: all of it passes through
/// memory at a start.
pub const SEGMENT_SLACK: u64 = 16 << 20;
/// bytes. Largest blob of one push between stores, and of one piece of rewriting: it must not hold
/// up a turn's sync.
pub const CHAIN_PUSH: usize = 512 << 10;
/// count. Ids asked about in one question.
pub const CHAIN_IDS: usize = 4096;
/// bytes. What may wait for the disk before a store says that it cannot.
pub const CHAIN_QUEUE: usize = 16 << 20;
/// count. Questions a store has under way before it says that it cannot.
pub const CHAIN_BUSY: usize = 1024;
/// bytes. Turns a front keeps on hand, and a store in memory, where the startup file sets no bound.
pub const CHAIN_HAND: usize = 48 << 20;
pub const CHAIN_HELD: usize = 256 << 20;
/// count. Programs whose owner a front remembers.
pub const CHAIN_OWNERS: usize = 16_384;

/// us. From the last check of a server that was chosen to the first byte sent to it. Between the
/// two lies one turn of the scheduler, some ms on a slow machine; a process that stood still for
/// longer has to choose anew.
pub const SEND_WITHIN: u64 = 250 * MS;
/// us. Idle time of a server's connection where the server names none.
pub const LINK_IDLE: u64 = 5 * SEC;
/// us. An idle connection is given up this long before the server would close it.
pub const LINK_SPARE: u64 = SEC;
/// us. A connection used this recently is not about to be closed; requests that must not run twice
/// prefer those.
pub const LINK_RECENT: u64 = 3 * SEC;
/// bytes. Buffer of a server connection, each way.
pub const LINK_BUF: usize = 64 << 10;
/// bytes. An answer up to this size is read whole before it is passed on, so that a broken one can
/// be told as such.
pub const ANSWER_WHOLE: u64 = 256 << 10;
/// percent of a route's aim that a request may wait for a place; above a quarter it is priced as
/// held.
pub const PLACE_PATIENCE: u64 = 20;
/// count. Requests beyond a server's slots that its own queue is trusted with.
pub const SERVER_QUEUE: f64 = 2.0;
/// us. A server that failed is left alone this long, doubled with each failure in a row.
pub const EJECTION_TIME: u64 = 250 * MS;
/// count. Doublings of that time at most: a server that is well again is found in 4 s.
pub const EJECTION_DOUBLINGS: u32 = 4;
/// count. Other fronts that have to leave a server alone before this one does too.
pub const EJECTION_QUORUM: u32 = 2;
/// percent of the servers that are left alone on the word of others, at most.
pub const EJECTED_MOST_PERCENT: usize = 30;
/// A server is silent that owes an answer for so many times the usual time from dispatch to the
/// head, and this (us) longer.
pub const SILENCE_FACTOR: f64 = 4.0;
pub const SILENCE_LEAST: u64 = 150 * MS;
/// us. What was heard of a server's load fades towards its mean at this pace: about as long as a
/// request takes.
pub const LOAD_FADE: u64 = 300 * MS;
/// us. A front tells what it has under way this often: several times in the life of a request.
pub const LOAD_EVERY: u64 = 50 * MS;
/// us. And this often one that has nothing under way, or whose servers tell their load themselves:
/// then for the word of failing servers alone.
pub const LOAD_IDLE_EVERY: u64 = 500 * MS;
/// us. A service's servers tell their load that did so within this time.
pub const LOAD_TOLD_KEPT: u64 = 5 * SEC;
/// us. Collectors of different sites tell each other this often.
pub const LOAD_SITES_EVERY: u64 = 100 * MS;
/// us. A front that has not reported for this long counts for nothing: its requests may be over.
pub const LOAD_KEPT: u64 = SEC;
/// us. Waiting for the answer to a report; the next report is due by then.
pub const LOAD_WAIT: u64 = 100 * MS;
/// count. Servers of a site that other sites hear of, those with the least load.
pub const LOAD_SITE_SERVERS: usize = 64;
/// us. A server that said it is full is passed by for a quarter of the usual time to a head, within
/// these.
pub const FULL_PAUSE_LEAST: u64 = 5 * MS;
pub const FULL_PAUSE_MOST: u64 = 100 * MS;
/// us. Time from dispatch to the head that is assumed at least, also before any was observed.
pub const LEAST_USUAL: f64 = 10_000.0;
/// Share of a sample's weight that is left when the next one comes: the last few hundred count.
pub const SLOPE_DECAY: f64 = 0.995;
/// count. Samples as which an assumed slope weighs.
pub const SLOPE_PRIOR: f64 = 4.0;
/// us a token of a prompt, until first events have shown it.
pub const ASSUMED_READING_US: f64 = 33.0;
/// tokens. Usual deviation of what a server has to read.
pub const READING_SPREAD: f64 = 1_000.0;
/// us between two events for each request beside it, until streams have shown it.
pub const ASSUMED_CROWDING_US: f64 = 500.0;
/// count. Usual deviation of the requests beside one.
pub const CROWDING_SPREAD: f64 = 2.0;
/// count. Events of a stream, until some have been seen.
pub const ASSUMED_EVENTS: f64 = 10.0;
/// us that a request beside it adds, where that is not learned.
pub const ASSUMED_NEIGHBOUR_US: f64 = 1_000.0;
/// Second attempts for each request, on the long run, and how many may come at once (count).
pub const RETRY_SHARE: f64 = 0.1;
pub const RETRY_BURST: f64 = 10.0;
/// A second server is asked once the first is silent for so many times the usual time to a head,
/// for this share of the aim, and for this long (us), whichever is longest.
pub const HEDGE_FACTOR: u64 = 3;
pub const HEDGE_AIM_PERCENT: u64 = 60;
pub const HEDGE_LEAST: u64 = 50 * MS;
/// A stream is stalled that is silent for this share of the longest pause in time (percent), and
/// for so many times the usual pause: what is left of the pause is enough to take it up elsewhere.
pub const STALL_GAP_PERCENT: u64 = 60;
pub const STALL_FACTOR: f64 = 4.0;
/// us. What a prompt's bytes between zones are worth against its time to the first event.
pub const ZONE_COST_MODEL: f64 = 20_000.0;
/// us. The same of a lookup's bytes against its answer.
pub const ZONE_COST_PLAIN: f64 = 8_000.0;
/// A server that by its name is the one for an affinity key is taken as long as its work costs at
/// most so many times the best other's: it does such work in about half of the time, and must not
/// be flooded for it.
pub const AFFINITY_BOUND: f64 = 1.5;
/// us. What a new connection is worth against time.
pub const DIAL_COST: f64 = 4_000.0;
/// us. A front that has just begun lets requests wait this long for its first configuration and
/// list.
pub const FIRST_NEWS: u64 = 400 * MS;
/// us. How often connections, seats and waiting lines are tidied.
pub const TIDY_EVERY: u64 = SEC;
/// us. From the word to stop until the door closes: the platform sends new callers elsewhere after
/// two missed checks.
pub const STOP_NOTICE: u64 = 2_500 * MS;
/// us. Kept back from the grace of a stop, so that the process ends by itself.
pub const STOP_SPARE: u64 = 500 * MS;
/// us. How long a turn waits for the stores to open it before it is sent back; a store that moved
/// is found in less.
pub const STORE_PATIENCE: u64 = SEC;
/// count. Idle connections to one server that all fronts together keep.
pub const LINKS_KEPT: usize = 64;
