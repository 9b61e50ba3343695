"""Events, metrics, traces, and the journal of decisions."""
