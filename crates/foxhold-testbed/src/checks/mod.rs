//! Rules that a run is held against.
//!
//! | module | holds |
//! | --- | --- |
//! | [`slow_start_budget`] | the budget of a server that started cold, over all who send to it |

pub mod slow_start_budget;
