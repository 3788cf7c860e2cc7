//! Load that proxies put on a server.

use serde::{Deserialize, Serialize};
use std::iter::Sum;

/// Load of one server, as seen by one proxy or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Proxies that have ejected the server after failures.
    pub ejected_by: u32,
}

impl Load {
    /// This sum without one of its parts.
    pub fn minus(self, part: Load) -> Load {
        Load {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            ejected_by: self.ejected_by.saturating_sub(part.ejected_by),
        }
    }
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Load>>(parts: I) -> Load {
        parts.fold(Load::default(), |total, part| Load {
            in_flight: total.in_flight + part.in_flight,
            ejected_by: total.ejected_by + part.ejected_by,
        })
    }
}
