//! Holds each mechanism against its limits, and finds the size at which it breaks.

use crate::capacity::cost::{Cost, Held, Mechanism, Stand};
use crate::capacity::inputs::Inputs;
use crate::capacity::mechanisms::MECHANISMS;
use crate::capacity::messages::Messages;
use serde::Serialize;
use std::fmt::Write;

/// A mechanism at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// As the table names it.
    pub name: &'static str,
    /// Where it stands in the design.
    pub stand: Stand,
    /// What it is held to.
    pub held: Held,
    /// What it costs at the given size.
    pub cost: Cost,
    /// What is passed, in words; empty where it fits.
    pub passes: Vec<String>,
    /// Up to which part of the given size it fits; where a machine's own load counts, of the load
    /// on the same machines.
    pub up_to: f64,
}

/// Everything of the next design that control has to do, as if one node bore all of it.
pub fn sum(lines: &[Line]) -> Cost {
    let of = |f: fn(&Cost) -> f64| {
        let mine =
            |l: &&Line| l.held == Held::Control && [Stand::Kept, Stand::Next].contains(&l.stand);
        lines.iter().filter(mine).map(|l| f(&l.cost)).sum::<f64>()
    };
    Cost {
        messages_s: of(|c| c.messages_s),
        bytes_s: of(|c| c.bytes_s),
        memory_mb: of(|c| c.memory_mb),
        core_pct: of(|c| c.core_pct),
        ..Default::default()
    }
}

/// What a cost passes, in words.
pub fn passes(i: &Inputs, held: Held, c: &Cost) -> Vec<String> {
    let mut v: Vec<String> = c.wrong.iter().cloned().collect();
    let mut over = |what: &str, got: f64, max: f64| {
        if got > max {
            v.push(format!("{what} {:.1} times", got / max));
        }
    };
    match held {
        Held::Control => {
            over("core", c.core_pct, i.limits.core_pct);
            over("memory", c.memory_mb, i.limits.memory_mb);
            over("bytes", c.bytes_s, i.limits.bytes_s);
            over("time", c.recovery_s, i.limits.in_force_s);
        }
        Held::Store => {
            over("memory", c.memory_mb, i.ours.store_memory_mb);
            over("link", c.bytes_s, i.ours.link_bytes_s);
            over("syncs", c.syncs_s, 1000.0 / i.ours.sync_ms);
        }
        Held::Front => {
            over("memory", c.memory_mb, i.limits.memory_mb);
            over("link", c.bytes_s, i.ours.link_bytes_s);
        }
        // Half of a link at most goes to replicas.
        Held::Server => over("half a link", c.bytes_s, i.ours.server_link_bytes_s / 2.0),
    }
    v
}

/// The largest part of the given size that fits, up to 64 times it.
pub(super) fn up_to(i: &Inputs, msg: &Messages, m: &Mechanism) -> f64 {
    let fits = |x: f64| {
        let j = if m.held == Held::Control {
            i.times(x)
        } else {
            i.load(x)
        };
        passes(&j, m.held, &(m.cost)(&j, msg)).is_empty()
    };
    let (mut lo, mut hi) = (0.0, 64.0);
    if fits(hi) {
        return hi;
    }
    (0..60).for_each(|_| {
        let x = (lo + hi) / 2.0;
        *(if fits(x) { &mut lo } else { &mut hi }) = x;
    });
    lo
}

/// Every mechanism at the given size.
pub fn table(i: &Inputs) -> Vec<Line> {
    let msg = Messages::now();
    let line = |m: &Mechanism| {
        let cost = (m.cost)(i, &msg);
        let x = up_to(i, &msg, m);
        Line {
            name: m.name,
            stand: m.stand,
            held: m.held,
            passes: passes(i, m.held, &cost),
            cost,
            up_to: x,
        }
    };
    MECHANISMS.iter().map(line).collect()
}

pub(super) fn short(x: f64) -> String {
    match x {
        0.0 => "-".into(),
        x if x >= 1e9 => format!("{:.1} G", x / 1e9),
        x if x >= 1e6 => format!("{:.1} M", x / 1e6),
        x if x >= 1e4 => format!("{:.0} k", x / 1e3),
        x if x >= 100.0 => format!("{x:.0}"),
        x if x >= 1.0 => format!("{x:.1}"),
        x => format!("{x:.3}"),
    }
}

/// The page's table: per node, bytes in and out.
pub fn text(lines: &[Line]) -> String {
    let mut s = String::new();
    let mut say = |l: String| writeln!(s, "{l}").unwrap_or_default();
    say(
        "| mechanism | | messages/s | bytes/s | MB | % core | syncs/s | s | fits up to | passes |"
            .into(),
    );
    say("|---|---|---|---|---|---|---|---|---|---|".into());
    let cells = |c: &Cost| {
        [
            c.messages_s,
            c.bytes_s,
            c.memory_mb,
            c.core_pct,
            c.syncs_s,
            c.recovery_s,
        ]
        .map(short)
        .join(" | ")
    };
    lines.iter().for_each(|l| {
        let stand = format!("{:?}", l.stand).to_lowercase();
        let to = match l.up_to {
            x if x >= 64.0 => "64 x".to_string(),
            x if x < 0.0005 => "no size".to_string(),
            x if x < 0.1 => format!("{x:.3} x"),
            x => format!("{x:.2} x"),
        };
        let bad = if l.passes.is_empty() {
            "fits".into()
        } else {
            l.passes.join("; ")
        };
        say(format!(
            "| {} | {stand} | {} | {to} | {bad} |",
            l.name,
            cells(&l.cost)
        ));
    });
    say(format!(
        "| all of control that is kept or next, on one node | | {} | | |",
        cells(&sum(lines))
    ));
    s
}
