//! The record of a budget: what was spent, and what is reserved.

use crate::records::record::line;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    pub amount: u64,
    pub key: String,
    pub job: String,
    pub nonce: u64,
    pub at: u64,
    #[serde(default)]
    pub keep: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Purse {
    pub spent: u64,
    pub open: BTreeMap<String, Open>,
    pub recent: VecDeque<String>,
}

impl Purse {
    pub fn read(v: &[u8]) -> Purse {
        let mut p = Purse::default();
        v.split(|b| *b == b'\n')
            .for_each(|l| match serde_json::from_slice::<PurseLine>(l) {
                Ok(PurseLine::Open(e, o)) => {
                    p.open.insert(e, o);
                }
                Ok(PurseLine::Settled(e)) => p.recent.push_back(e),
                Ok(PurseLine::Spent(n)) => p.spent = n,
                Err(_) => {}
            });
        p
    }
    pub(super) fn write(&self) -> Vec<u8> {
        let mut v = vec![];
        self.recent
            .iter()
            .for_each(|e| line(&mut v, &PurseLine::Settled(e.clone())));
        self.open
            .iter()
            .for_each(|(e, o)| line(&mut v, &PurseLine::Open(e.clone(), o.clone())));
        line(&mut v, &PurseLine::Spent(self.spent));
        v
    }
}

#[derive(Serialize, Deserialize)]
enum PurseLine {
    Settled(String),
    Open(String, Open),
    Spent(u64),
}

pub fn purse_key(budget: &str) -> String {
    format!("budget/{budget}")
}
