//! What one real node costs: to come.
