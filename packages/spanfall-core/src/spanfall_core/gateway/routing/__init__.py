"""Choose the upstream of a request and the step after a failed send."""
