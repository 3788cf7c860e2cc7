//! Raw exchanges with a simulated fleet, written down for approval.

use crate::proof::Lab;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

/// Sends the bytes as they are and reads until the other side closes or falls silent.
pub async fn raw(runtime: &Runtime, to: SocketAddr, parts: &[&[u8]], pause: u64) -> String {
    let Ok(mut c) = runtime.connect(to).await else {
        return "refused\n".into();
    };
    for (i, p) in parts.iter().enumerate() {
        if i > 0 {
            runtime.sleep(pause).await;
        }
        if c.write_all(p).await.is_err() {
            break;
        }
    }
    let mut v = vec![];
    let mut buf = [0u8; 4096];
    while let Some(Ok(n)) = runtime.timeout(8 * SEC, c.read(&mut buf)).await {
        if n == 0 {
            break;
        }
        v.extend(&buf[..n]);
    }
    let _ = c.close().await;
    String::from_utf8_lossy(&v).into_owned()
}

pub fn request(verb: &str, path: &str, heads: &str, body: &str) -> String {
    format!(
        "{verb} {path} HTTP/1.1\r\nhost: tier\r\nconnection: close\r\n{heads}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Heads sorted, chunk framing undone, what differs by seed blanked.
pub fn plain(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let mut lines = head.lines();
    let first = lines.next().unwrap_or("").to_string();
    let mut heads: Vec<&str> = lines
        .filter(|l| {
            !["date", "content-length", "yewcross-shot"]
                .iter()
                .any(|n| l.starts_with(n))
        })
        .collect();
    heads.sort();
    let chunked = heads.iter().any(|h| h.contains("chunked"));
    let text = if chunked {
        unchunk(body)
    } else {
        body.to_string()
    };
    let blank = ["\"inst\":", "\"retry_in\":"]
        .iter()
        .fold(text, |t, k| blank(&t, k));
    let blank = hide(&blank, "\"put\":\"");
    let blank = hide(&hide(&blank, "\"disk\":\""), "\"stored\":\"");
    format!("{first}\n{}\n\n{}\n", heads.join("\n"), blank.trim_end())
}

fn unchunk(b: &str) -> String {
    let (mut out, mut rest) = (String::new(), b);
    while let Some((n, r)) = rest.split_once("\r\n") {
        let n = usize::from_str_radix(n.trim(), 16).unwrap_or(0);
        if n == 0 || r.len() < n {
            break;
        }
        out += &r[..n];
        rest = r[n..].trim_start_matches("\r\n");
    }
    out
}

fn blank(t: &str, key: &str) -> String {
    let mut out = String::new();
    let mut rest = t;
    while let Some(i) = rest.find(key) {
        out += &rest[..i + key.len()];
        out.push('_');
        rest = rest[i + key.len()..].trim_start_matches(|c: char| c.is_ascii_digit());
    }
    out + rest
}

fn hide(t: &str, key: &str) -> String {
    let mut out = String::new();
    let mut rest = t;
    while let Some(i) = rest.find(key) {
        out += &rest[..i + key.len()];
        out.push('_');
        let r = &rest[i + key.len()..];
        rest = &r[r.find('"').unwrap_or(0)..];
    }
    out + rest
}

pub fn on_fleet<T: Send + 'static>(
    seed: u64,
    edit: impl FnOnce(&mut serde_json::Value),
    f: impl FnOnce(Arc<Lab>) -> BoxFuture<'static, T>,
) -> T {
    on_fleet_of("small", seed, edit, f)
}

/// Runs an async script against a founded fleet with a configuration, in virtual time.
pub fn on_fleet_of<T: Send + 'static>(
    shape: &str,
    seed: u64,
    edit: impl FnOnce(&mut serde_json::Value),
    f: impl FnOnce(Arc<Lab>) -> BoxFuture<'static, T>,
) -> T {
    let lab = Lab::new(seed, shape);
    edit(&mut lab.text.lock().unwrap());
    lab.boot("platform");
    lab.sh.backs.iter().for_each(|b| lab.boot(&b.server));
    lab.sh.nodes.iter().for_each(|n| lab.boot(&n.name));
    let out: Arc<Mutex<Option<T>>> = Default::default();
    let (me, o) = (lab.clone(), out.clone());
    let go = f(lab.clone());
    lab.op.spawn(async move {
        me.op.sleep(1500 * MS).await;
        me.found().await;
        me.put("core1", 1, "first").await;
        me.op.sleep(4 * SEC).await;
        let x = go.await;
        *o.lock().unwrap() = Some(x);
    });
    lab.sim.run(900 * SEC, || out.lock().unwrap().is_some());
    let x = out.lock().unwrap().take();
    x.unwrap_or_else(|| panic!("the script did not end"))
}
