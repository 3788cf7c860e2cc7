//! What fronts have under way at a server, and how many of them leave it alone.

use serde::{Deserialize, Serialize};
use std::iter::Sum;

/// Of one front, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests under way.
    pub in_flight: u32,
    /// Fronts that leave the server alone since it failed.
    pub ejected_by: u32,
}

impl Load {
    /// What is left of a sum without one of its parts.
    pub fn minus(self, part: Load) -> Load {
        Load {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            ejected_by: self.ejected_by.saturating_sub(part.ejected_by),
        }
    }
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Load>>(parts: I) -> Load {
        parts.fold(Load::default(), |a, b| Load {
            in_flight: a.in_flight + b.in_flight,
            ejected_by: a.ejected_by + b.ejected_by,
        })
    }
}
