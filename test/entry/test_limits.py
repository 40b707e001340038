"""Test that eight VMs keep limits within the stated error bounds."""

import contextlib
import random

import pytest

from gentianstair import errors
from gentianstair.bench import twins
from gentianstair.entry import limits

VMS = [f'v{number}' for number in range(8)]
RATE = 20.0
STEP_S = 0.05


class Fleet:
    """Eight VMs that exchange summaries, some of which are lost."""

    def __init__(self, customer_limits, seed, loss=0.05):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut = set()
        self.vms = {}
        for name in VMS:
            vm = limits.make_limits(
                name, lambda _: customer_limits, lambda: self.now_s
            )
            vm.set_vms(VMS)
            self.vms[name] = vm

    def step(self):
        for name, vm in self.vms.items():
            summary = vm.summary()
            for peer, other in self.vms.items():
                lost = self.rng.random() < self.loss
                cut = self.cut & {name, peer}
                if summary and not lost and not cut:
                    other.merge(name, summary)
        self.now_s += STEP_S

    def request(self, name, stack=None, tokens=0):
        """Return whether a request passes; a stack keeps it running."""
        try:
            permit = self.vms[name].acquire('a', tokens)
            with contextlib.ExitStack() as own:
                (stack or own).enter_context(permit)
            return True
        except errors.RequestError as error:
            assert error.retry_after_s > 0.0
            return False


def target_of(pattern):
    """Return a function of time and rng that picks a request's VM.

    It returns an empty name when no request is sent.
    """
    return {
        'even': lambda now_s, rng: rng.choice(VMS),
        'one': lambda now_s, rng: 'v3',
        # The load balancer moves all callers to another VM every 3 s.
        'moving': lambda now_s, rng: VMS[int(now_s / 3) % 8],
        'bursts': lambda now_s, rng: rng.choice(VMS) if now_s % 6 > 3 else '',
    }[pattern]


@pytest.mark.promise
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('pattern', ['even', 'one', 'moving', 'bursts'])
@pytest.mark.parametrize(
    'cut', [set(), {'v1', 'v5'}], ids=['all-connected', 'two-vms-cut-off']
)
def test_request_limit_holds_in_every_window(seed, pattern, cut):
    # A customer sends five times its limit. Guards against VMs that
    # together let more pass, up to the whole limit on each of them.
    fleet = Fleet(limits.CustomerLimits(requests_per_s=RATE), seed)
    fleet.cut = cut
    passed = []
    while fleet.now_s < 40.0:
        for _ in range(int(5 * RATE * STEP_S)):
            name = target_of(pattern)(fleet.now_s, fleet.rng)
            if name and fleet.request(name):
                passed.append(fleet.now_s)
        fleet.step()
    for width_s in (1.0, 5.0, 20.0):
        bound = RATE * (width_s + limits.BURST_S) + len(VMS)
        for start in passed:
            inside = [at for at in passed if start <= at < start + width_s]
            assert len(inside) <= bound
    if pattern in ('even', 'one') and not cut:
        late = [at for at in passed if at >= 10.0]
        assert len(late) >= 0.9 * RATE * 30.0


def test_customer_on_one_vm_gets_more_than_that_vms_even_share():
    # All requests of a customer reach one VM. With an even share for each
    # VM, the baseline, it gets an eighth of its limit.
    fleet = Fleet(limits.CustomerLimits(requests_per_s=RATE), 1)
    baseline = twins.EvenLimit(RATE, len(VMS))
    passed, baseline_passed = 0, 0
    while fleet.now_s < 60.0:
        for _ in range(2):
            passed += fleet.request('v3')
            baseline_passed += baseline.allow(fleet.now_s)
        fleet.step()
    assert baseline_passed <= RATE * 61.0 / len(VMS) + 1
    assert 0.85 * RATE * 60.0 <= passed <= RATE * 61.0 + len(VMS)


@pytest.mark.parametrize('seed', [1, 2])
def test_concurrent_limit_holds_over_all_vms_together(seed):
    fleet = Fleet(limits.CustomerLimits(concurrent=16), seed)
    running = []
    most_running = 0
    while fleet.now_s < 20.0:
        name = fleet.rng.choice(VMS)
        stack = contextlib.ExitStack()
        if fleet.request(name, stack):
            running.append((fleet.now_s + fleet.rng.uniform(1, 5), stack))
        for ends_s, request in list(running):
            if ends_s <= fleet.now_s:
                request.close()
                running.remove((ends_s, request))
        most_running = max(most_running, len(running))
        fleet.step()
    assert 12 <= most_running <= 16 + len(VMS) - 1


def test_request_refused_by_the_queue_uses_no_tokens():
    # The limit lets requests pass that the queue then refuses. Guards
    # against a customer that reaches a limit without any request run.
    fleet = Fleet(limits.CustomerLimits(tokens_per_s=800.0), 1)
    for _ in range(50):
        with pytest.raises(errors.RequestError) as caught:
            with fleet.vms['v1'].acquire('a', 500):
                raise errors.RequestError(503, 'busy', 'x')
        assert caught.value.kind == 'busy'
