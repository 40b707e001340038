"""Run several nodes in one process, linked in memory."""

import contextlib
import random

import trio

from gentianstair import settings as settings_module
from gentianstair.config import view as view_module
from gentianstair.generated import settings as generated
from gentianstair.peers import node as node_module
from gentianstair.store import vm_list
from gentianstair.util import clock
from standins import memory_network
from standins import memory_store
from standins.platform import objects


class FakeVmList(vm_list.VmList):
    """The platform's list of VMs, written by tests."""

    def __init__(self):
        self.vms = {}

    async def read(self):
        await trio.lowlevel.checkpoint()
        return list(self.vms.values())


class RunningVm:
    """A node of the fleet with its view, store and cancel scope."""

    def __init__(self, node, view, store, scope):
        self.node = node
        self.view = view
        self.store = store
        self.scope = scope


class Fleet:
    """Nodes that share one hub, one store and one list of VMs."""

    def __init__(self, nursery, seed=1, **settings):
        self.nursery = nursery
        self.hub = memory_network.Hub()
        self.table = objects.ObjectTable()
        self.vm_list = FakeVmList()
        self.running = {}
        self.rng = random.Random(seed)
        self.settings = settings
        self.versions = {}

    def start(self, name, domain='a'):
        """Start a VM, also as a new incarnation of a killed one."""
        address = f'{name}:1'
        flags = {
            'vm_name': name,
            'failure_domain': domain,
            'platform_url': 'http://127.0.0.1:1',
            'peer_listen': address,
            **{key: str(value) for key, value in self.settings.items()},
        }
        values = settings_module.collect(generated.ENTRY, flags, {})
        view = view_module.View()
        store = memory_store.MemoryStore(self.table)
        node = node_module.make_node(
            generated.EntrySettings(**values),
            view,
            store,
            clock.trio_time_s,
            memory_network.MemoryNetwork(self.hub, address),
            self.vm_list,
            random.Random(self.rng.random()),
        )
        scope = trio.CancelScope()
        self.vm_list.vms[name] = vm_list.Vm(name, address, domain)
        self.running[name] = RunningVm(node, view, store, scope)
        self.nursery.start_soon(self._run, node, scope)

    async def _run(self, node, scope):
        with scope:
            await node.run()

    def start_many(self, count, domains=3):
        """Start VMs named v0, v1, ... spread over failure domains."""
        for index in range(count):
            self.start(f'v{index}', 'abcdefghij'[index % domains])

    def kill(self, name):
        """Stop a VM without notice, as SIGKILL does."""
        self.running.pop(name).scope.cancel()

    def write(self, kind, name, value):
        """Write an object to the store."""
        version = self.versions.get((kind, name), 0)
        new_version = self.table.write(kind, name, value, version)
        self.versions[(kind, name)] = new_version if value is not None else 0
        return new_version

    def select(self, names=None):
        """Return the running nodes with these names, or all."""
        return [
            vm
            for name, vm in self.running.items()
            if names is None or name in names
        ]

    def set_store_down(self, down, names=None):
        """Make the store unreachable for nodes, or reachable again."""
        for vm in self.select(names):
            vm.store.faults.down = down

    async def wait(self, condition, limit_s=30.0, names=None):
        """Wait until condition holds at each node; return the seconds."""
        start_s = trio.current_time()
        with trio.fail_after(limit_s):
            while not all(condition(vm) for vm in self.select(names)):
                await trio.sleep(0.05)
        return trio.current_time() - start_s


@contextlib.asynccontextmanager
async def open_fleet(count, domains=3, **settings):
    """Yield a fleet whose nodes are all fresh."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, **settings)
        fleet.write('customer', 'acme', CUSTOMER)
        fleet.write('key', 'k1', key())
        fleet.start_many(count, domains)
        await fleet.wait(lambda vm: vm.node.is_fresh())
        # Members known only from the list of VMs have incarnation 0.
        await fleet.wait(
            lambda vm: (
                vm.node.link_count() > 0
                and sum(m.incarnation > 0 for m in vm.node.members()) == count
            )
        )
        yield fleet
        nursery.cancel_scope.cancel()


CUSTOMER = {
    'weight': 1.0,
    'requests_per_s': 10.0,
    'tokens_per_s': 1000.0,
    'concurrent': 10,
    'enabled': True,
}


def key(revoked=False):
    """Return a caller key of the customer."""
    return {'customer': 'acme', 'label': 'k', 'revoked': revoked}


def accepts(vm, digest='k1'):
    """Say whether a node would run a request that carries the key."""
    caller_key = vm.view.key(digest)
    return (
        vm.node.is_fresh()
        and caller_key is not None
        and not caller_key['revoked']
    )
