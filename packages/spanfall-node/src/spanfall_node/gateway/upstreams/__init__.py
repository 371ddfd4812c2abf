"""Choose an upstream, send a request there and relay the answer."""
