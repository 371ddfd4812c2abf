"""Choose an upstream, send it a request and relay the response."""
