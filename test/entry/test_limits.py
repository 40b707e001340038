"""Test that limits hold over eight VMs with the stated error."""

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
    """Eight VMs that exchange summaries with a delay and losses."""

    def __init__(self, terms, seed, loss=0.05):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut = set()
        self.vms = {}
        for name in VMS:
            vm = limits.make_limits(name, lambda _: terms, lambda: self.now_s)
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

    def ask(self, name, stack=None, tokens=0):
        """Return whether one request passes; stack keeps it running."""
        try:
            held = self.vms[name].acquire('a', tokens)
            with contextlib.ExitStack() as own:
                (stack or own).enter_context(held)
            return True
        except errors.RequestError as error:
            assert error.retry_after_s > 0.0
            return False


def spread(where):
    """Return the VM of the next request, as a function of time and rng."""
    return {
        'even': lambda now_s, rng: rng.choice(VMS),
        'one': lambda now_s, rng: 'v3',
        # The balancer moves all callers to another VM every 3 s.
        'moving': lambda now_s, rng: VMS[int(now_s / 3) % 8],
        'bursts': lambda now_s, rng: rng.choice(VMS) if now_s % 6 > 3 else '',
    }[where]


@pytest.mark.promise
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('where', ['even', 'one', 'moving', 'bursts'])
@pytest.mark.parametrize('cut', [set(), {'v1', 'v5'}])
def test_request_limit_holds_in_every_window(seed, where, cut):
    # A customer asks for five times its limit, wherever the balancer sends
    # it, and two VMs may be cut off. Each VM with the whole limit would let
    # through eight times as much; a write for each request the store can't
    # carry.
    fleet = Fleet(limits.CustomerLimits(requests_per_s=RATE), seed)
    fleet.cut = cut
    passed = []
    while fleet.now_s < 40.0:
        for _ in range(int(5 * RATE * STEP_S)):
            name = spread(where)(fleet.now_s, fleet.rng)
            if name and fleet.ask(name):
                passed.append(fleet.now_s)
        fleet.step()
    for width_s in (1.0, 5.0, 20.0):
        most = RATE * (width_s + limits.BURST_S) + len(VMS)
        for start in passed:
            inside = [at for at in passed if start <= at < start + width_s]
            assert len(inside) <= most
    if where in ('even', 'one') and not cut:
        late = [at for at in passed if at >= 10.0]
        assert len(late) >= 0.9 * RATE * 30.0


def test_one_busy_vm_gets_what_the_others_leave():
    # The balancer sends a customer to one VM only. With an even part for
    # each VM and nothing shared, it gets an eighth of what it pays for.
    fleet = Fleet(limits.CustomerLimits(requests_per_s=RATE), 1)
    twin = twins.EvenLimit(RATE, len(VMS))
    ours, naive = 0, 0
    while fleet.now_s < 60.0:
        for _ in range(2):
            ours += fleet.ask('v3')
            naive += twin.allow(fleet.now_s)
        fleet.step()
    assert naive <= RATE * 61.0 / len(VMS) + 1
    assert 0.85 * RATE * 60.0 <= ours <= RATE * 61.0 + len(VMS)


@pytest.mark.parametrize('seed', [1, 2])
def test_concurrent_limit(seed):
    fleet = Fleet(limits.CustomerLimits(concurrent=16), seed)
    running = []
    most = 0
    while fleet.now_s < 20.0:
        name = fleet.rng.choice(VMS)
        stack = contextlib.ExitStack()
        if fleet.ask(name, stack):
            running.append((fleet.now_s + fleet.rng.uniform(1, 5), stack))
        for ends_s, held in list(running):
            if ends_s <= fleet.now_s:
                held.close()
                running.remove((ends_s, held))
        most = max(most, len(running))
        fleet.step()
    assert 12 <= most <= 16 + len(VMS) - 1


def test_refused_further_on_uses_no_tokens():
    # The queue refuses a request that the limit had let through. Were its
    # tokens used up, a customer refused for a full fleet would then be
    # refused for a limit that it never used.
    fleet = Fleet(limits.CustomerLimits(tokens_per_s=800.0), 1)
    for _ in range(50):
        with pytest.raises(errors.RequestError) as caught:
            with fleet.vms['v1'].acquire('a', 500):
                raise errors.RequestError(503, 'busy', 'x')
        assert caught.value.kind == 'busy'
