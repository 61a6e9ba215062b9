//! Chooses an upstream for each call and tracks the evidence that the choice rests on.
