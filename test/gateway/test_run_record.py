"""Test what the attempts at replicas record of their caches."""

import types

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from gentianstair.gateway import run_record
from gentianstair.gateway import usage_counter

REPLICA = replicas.Replica(
    'i-1', 's', 'i-1:80', 'a', 64, False, 'decode', 1, 0, False, ()
)
PROMPT = calls.Prompt(
    'm',
    9100,
    10,
    (calls.PromptPart('book', 9000), calls.PromptPart('own', 100)),
)
KV_TOKENS = 400_000


def clock():
    return 100.0


def make_request():
    """Return the parts of a request that a run uses."""
    node = types.SimpleNamespace(
        clock=clock,
        load_tracker=replica_load.LoadTracker(clock),
        prefix_index=prefix_index.PrefixIndex(),
        prefill_costs=prefill_costs.PrefillCosts(),
        usage_counter=usage_counter.UsageCounter(clock, 5.0),
    )
    return types.SimpleNamespace(
        node=node, customer_name='club', log=lambda *_, **__: None
    )


@pytest.mark.parametrize(
    ('has_output', 'cached_before', 'uncached_tokens'),
    [(True, (), 0), (False, (), 9100), (False, ('book',), 100)],
    ids=['output', 'failed', 'failed where a part was cached'],
)
def test_parts_of_a_run_without_output_do_not_count_as_cached(
    has_output, cached_before, uncached_tokens
):
    # Other prompts would be sent to a replica that has to compute them.
    request = make_request()
    index = request.node.prefix_index
    for name in cached_before:
        index.update(REPLICA.name, name, 9000)
    run = run_record.ReplicaRun(request, PROMPT, REPLICA, None, KV_TOKENS)
    assert index.uncached_tokens(REPLICA.name, PROMPT) == 0
    if has_output:
        run.record_event()
    run.finish()
    assert index.uncached_tokens(REPLICA.name, PROMPT) == uncached_tokens
    assert request.node.load_tracker.load_of(REPLICA.name).running == 0
