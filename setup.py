"""Build of the package, with the modules on the path of a call compiled.

SASSAFRASWOOD_COMPILE=0 leaves all modules as Python.
"""

import os

import setuptools

COMPILED = [
    'sassafraswood/clock.py',
    'sassafraswood/coordination/answer_memory.py',
    'sassafraswood/coordination/call_depth.py',
    'sassafraswood/coordination/call_schedule.py',
    'sassafraswood/coordination/call_tree.py',
    'sassafraswood/coordination/client_budget.py',
    'sassafraswood/coordination/completion_estimate.py',
    'sassafraswood/coordination/crash_counts.py',
    'sassafraswood/coordination/deep_load.py',
    'sassafraswood/coordination/evacuation.py',
    'sassafraswood/coordination/lost_runs.py',
    'sassafraswood/coordination/peer_plan.py',
    'sassafraswood/coordination/quota_shares.py',
    'sassafraswood/coordination/repeat_budget.py',
    'sassafraswood/coordination/route_order.py',
    'sassafraswood/coordination/stop_plan.py',
    'sassafraswood/coordination/store_knowledge.py',
    'sassafraswood/coordination/tree_limit.py',
    'sassafraswood/coordination/upstream_choice.py',
    'sassafraswood/coordination/upstream_gate.py',
    'sassafraswood/coordination/upstream_health.py',
    'sassafraswood/coordination/upstream_pace.py',
    'sassafraswood/coordination/upstream_registry.py',
    'sassafraswood/models/fields.py',
    'sassafraswood/models/fleet.py',
    'sassafraswood/models/traffic.py',
    'sassafraswood/sidecar/caller_call.py',
    'sassafraswood/sidecar/caller_side.py',
    'sassafraswood/sidecar/crash_exchange.py',
    'sassafraswood/sidecar/evacuation_exchange.py',
    'sassafraswood/sidecar/fingerprints.py',
    'sassafraswood/sidecar/measures.py',
    'sassafraswood/sidecar/peer_link.py',
    'sassafraswood/sidecar/peers.py',
    'sassafraswood/sidecar/quota_wait.py',
    'sassafraswood/sidecar/upstream_side.py',
    'sassafraswood/sidecar/upstream_watch.py',
    'sassafraswood/state/fair_queue.py',
    'sassafraswood/state/held_bytes.py',
    'sassafraswood/state/route_index.py',
    'sassafraswood/state/route_maxima.py',
    'sassafraswood/transport/body_buffer.py',
    'sassafraswood/transport/exchange.py',
    'sassafraswood/transport/frame_link.py',
    'sassafraswood/transport/ingress.py',
    'sassafraswood/transport/ingress_connection.py',
    'sassafraswood/transport/json_log.py',
    'sassafraswood/transport/parse_turns.py',
    'sassafraswood/transport/response_limits.py',
]


def extensions() -> list[setuptools.Extension]:
    """Return the compiled modules."""
    if os.environ.get('SASSAFRASWOOD_COMPILE', '1') == '0':
        return []
    # Not needed, and not installed, where nothing is compiled.
    from mypyc import build

    options = ['--config-file', 'pyproject.toml']
    return build.mypycify(
        [*options, *COMPILED], opt_level='2', debug_level='0'
    )


setuptools.setup(ext_modules=extensions())
