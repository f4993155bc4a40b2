"""Randomized soak test of real daemons under injected faults.

Each daemon runs as a separate process. The store, the upstreams, the callers
and the relays between them are test doubles in the process of the soak.
"""
