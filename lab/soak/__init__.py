"""Randomized soak of real daemons with faults from outside.

Daemons run as processes of their own; the store, upstreams, callers and the
relays between them are stand-ins in the process of the soak.
"""
