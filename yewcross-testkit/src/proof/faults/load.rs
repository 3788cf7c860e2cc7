//! More callers than the deployment is built for.

use crate::caller;
use crate::proof::lab::{Lab, addr};
use std::sync::Arc;

impl Lab {
    /// Sixty more callers come at once.
    pub(super) async fn crowd(self: &Arc<Self>) {
        let w = self.sim.boot(
            self.sim
                .machine("crowd", &self.sh.sites[2], addr(902, 0).ip()),
        );
        (0..60).for_each(|i| {
            w.spawn(caller::session(
                w.clone(),
                self.sh.clone(),
                self.diary.clone(),
                5000 + i,
                2,
            ))
        });
        self.nap(6).await;
    }

    /// Ten callers a model server come at once, all with the second program.
    pub(super) async fn urgent_crowd(self: &Arc<Self>) {
        let w = self.sim.boot(
            self.sim
                .machine("crowd", &self.sh.sites[3], addr(904, 0).ip()),
        );
        let mut sh = (*self.sh).clone();
        sh.mix
            .turns
            .iter_mut()
            .for_each(|t| t.2 = if t.0 == self.sh.mix.turns[1].0 { 1 } else { 0 });
        let sh = Arc::new(sh);
        (0..10 * self.sh.backs.iter().filter(|b| b.model).count()).for_each(|i| {
            w.spawn(caller::session(
                w.clone(),
                sh.clone(),
                self.diary.clone(),
                20_000 + i,
                2,
            ))
        });
        self.nap(6).await;
    }

    /// Forty callers a model server come at once.
    pub(super) async fn flood(self: &Arc<Self>) {
        let w = self.sim.boot(
            self.sim
                .machine("flood", &self.sh.sites[1], addr(903, 0).ip()),
        );
        (0..40 * self.sh.backs.iter().filter(|b| b.model).count()).for_each(|i| {
            w.spawn(caller::session(
                w.clone(),
                self.sh.clone(),
                self.diary.clone(),
                8000 + i,
                2,
            ))
        });
        self.nap(10).await;
    }
}
