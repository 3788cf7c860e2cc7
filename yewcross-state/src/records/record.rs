//! The record of a session: history, marks of finished requests, kept outcomes, transfer state.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use yewcross_common::constants::{BARS_KEPT, MARKS_KEPT, OLD_KEPT, OLD_LINE};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::SessionCacheState;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub job: String,
    pub digest: String,
    pub nonce: u64,
    pub front: String,
    pub until: u64,
    pub max_out: u64,
    pub budget: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Mark {
    pub job: String,
    pub digest: String,
    pub nonce: u64,
    pub code: Code,
    pub used: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Head {
    pub epoch: u64,
    pub running: Option<Run>,
    #[serde(skip)]
    pub marks: VecDeque<Mark>,
    #[serde(skip)]
    pub kept: VecDeque<(String, String)>,
    pub kv: SessionCacheState,
    pub touched: u64,
    /// ms after `touched` until the record may be forgotten.
    #[serde(default)]
    pub keep: u64,
    /// Shots that may never begin any more.
    #[serde(default)]
    pub barred: VecDeque<u64>,
    /// Lines of bare ids.
    #[serde(default)]
    olds: usize,
}

/// One line for each thing that may change by itself, so that a change is a small delta of the
/// value: history, bare ids of jobs whose marks are gone, kept outcomes, marks, the rest.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub hist: Vec<u8>,
    /// Ids of jobs older than the marks, 16 hex digits each.
    pub old: Vec<u8>,
    pub head: Head,
}

fn bare(job: &str) -> String {
    format!("{:016x}", yewcross_common::hash::rendezvous_weight(job, ""))
}

pub(super) fn line(v: &mut Vec<u8>, x: &impl Serialize) {
    v.extend(serde_json::to_vec(x).unwrap_or_default());
    v.push(b'\n');
}

impl Record {
    pub fn read(v: &[u8]) -> Record {
        let mut lines = v.split_inclusive(|b| *b == b'\n').rev();
        let Some((mut head, marks, kept)) = lines
            .next()
            .and_then(|l| serde_json::from_slice::<(Head, usize, usize)>(l).ok())
        else {
            return Record::default();
        };
        let mut tail = v.len()
            - v.split_inclusive(|b| *b == b'\n')
                .next_back()
                .map_or(0, |l| l.len());
        (0..marks).for_each(|_| {
            let Some(l) = lines.next() else { return };
            tail -= l.len();
            serde_json::from_slice(l)
                .into_iter()
                .for_each(|m| head.marks.push_front(m));
        });
        (0..kept).for_each(|_| {
            let Some(l) = lines.next() else { return };
            tail -= l.len();
            serde_json::from_slice(l)
                .into_iter()
                .for_each(|m| head.kept.push_front(m));
        });
        let ids: usize = lines.by_ref().take(head.olds).map(|l| l.len()).sum();
        Record {
            hist: v[..tail - ids].to_vec(),
            old: v[tail - ids..tail].to_vec(),
            head,
        }
    }
    pub fn write(&self) -> Vec<u8> {
        let mut v = self.hist.clone();
        v.extend(&self.old);
        let olds = self.old.iter().filter(|b| **b == b'\n').count();
        self.head.kept.iter().for_each(|k| line(&mut v, k));
        self.head.marks.iter().for_each(|m| line(&mut v, m));
        line(
            &mut v,
            &(
                &Head {
                    olds,
                    ..self.head.clone()
                },
                self.head.marks.len(),
                self.head.kept.len(),
            ),
        );
        v
    }
    pub fn close(&mut self, code: Code, used: u64) -> Option<Run> {
        self.head.running.take().inspect(|r| {
            self.head.marks.push_back(Mark {
                job: r.job.clone(),
                digest: r.digest.clone(),
                nonce: r.nonce,
                code,
                used,
            });
            while self.head.marks.len() > MARKS_KEPT {
                let m = self.head.marks.pop_front();
                m.iter().for_each(|m| grow(&mut self.old, &bare(&m.job)));
            }
        })
    }
}

/// Ids stand in lines of a fixed length, so that a change stays a small delta.
fn grow(old: &mut Vec<u8>, id: &str) {
    let last = old
        .split_inclusive(|b| *b == b'\n')
        .next_back()
        .map_or(0, |l| l.len());
    if last > 0 && last <= 16 * OLD_LINE {
        old.pop();
    }
    old.extend(id.as_bytes());
    old.push(b'\n');
}

impl Record {
    pub fn ran_before(&self, job: &str) -> bool {
        let id = bare(job);
        self.old
            .split(|b| *b == b'\n')
            .any(|l| l.chunks(16).any(|x| x == id.as_bytes()))
    }
    pub fn full(&self) -> bool {
        self.old.len() >= 17 * OLD_KEPT
    }
    pub fn bar(&mut self, nonce: u64) {
        self.head.barred.push_back(nonce);
        while self.head.barred.len() > BARS_KEPT {
            self.head.barred.pop_front();
        }
    }
}
