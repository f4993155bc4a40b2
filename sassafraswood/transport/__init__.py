"""Transport to callers, peers, upstreams and the platform."""
