"""Run an engine's batch of sequences under trio's clock."""

import bisect
import collections
import typing

import trio

from standins.engine import cache
from standins.engine import costs as costs_module

LOAD_STEP_S = 0.05
LOADS_KEPT = 400
# How long imported blocks are kept for the request that needs them.
IMPORT_HOLD_S = 2.0
IMPORT_RETRY_S = 0.05
# Room that the output of an import's request needs besides.
IMPORT_MARGIN_BLOCKS = 32


class RefusedError(Exception):
    """Report that a request was not taken, so certainly did not start."""

    def __init__(self, status: int, retry_after_s: float) -> None:
        super().__init__(f'refused with {status}')
        self.status = status
        self.retry_after_s = retry_after_s


class Request(typing.NamedTuple):
    """What the engine needs of a request.

    ``prompt_tokens`` counts resumed text too: it is read like a prompt.
    """

    request_id: str
    prompt_tokens: int
    max_tokens: int
    hashes: tuple[int, ...] = ()
    priority: int = 0
    model: str = ''


class Options(typing.NamedTuple):
    """How one engine differs from others, and its faults."""

    name: str = 'engine'
    role: str = 'mixed'
    models: tuple[str, ...] = ()
    costs: costs_module.Costs = costs_module.DEFAULT
    # Times as slow as the table says; and a factor on all time, so that
    # tests on a real clock need not wait.
    slow: float = 1.0
    time_scale: float = 1.0
    load_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_loss: float = 0.0
    checks_fencing: bool = True
    seed: int = 0


class Sequence:
    """One request in the engine; times are of the engine's clock."""

    def __init__(self, request: Request, arrived_s: float) -> None:
        self.request = request
        self.arrived_s = arrived_s
        self.cached_tokens = 0
        # Prompt tokens still to read, and output tokens made so far.
        self.unread_tokens = request.prompt_tokens
        self.produced = 0
        self.first_token_s: float | None = None
        self.last_token_s: float | None = None
        self.state = 'waiting'
        self.shared: list[int] = []
        self.private = 0
        self._progress = trio.lowlevel.ParkingLot()
        self._end = trio.lowlevel.ParkingLot()

    @property
    def ended(self) -> bool:
        """Return whether no more tokens will come."""
        return self.state in ('finished', 'cancelled')

    @property
    def order(self) -> tuple[int, float]:
        """Return the key by which waiting work is taken."""
        return (-self.request.priority, self.arrived_s)

    async def wait_past(self, produced: int) -> int:
        """Return the tokens made, once more than given or at the end."""
        while self.produced <= produced and not self.ended:
            await self._progress.park()
        return self.produced

    async def wait_end(self) -> None:
        """Return when no more tokens will come."""
        while not self.ended:
            await self._end.park()

    def wake(self) -> None:
        """Let the tasks that wait for this sequence look at it."""
        self._progress.unpark_all()
        if self.ended:
            self._end.unpark_all()


class Load(typing.NamedTuple):
    """The engine's state at one time."""

    at_s: float
    running: int
    waiting: int
    waiting_prefill_tokens: int
    kv_used_blocks: int
    kv_total_blocks: int
    tokens_per_s: float


class Engine:
    """An engine; ``run`` must run for work to go on."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.costs = options.costs
        self.role = options.role
        self.models = set(options.models)
        # serving, draining (finishes what it holds) or changing (a role or
        # model change has the engine: nothing runs).
        self.state = 'serving'
        self.cache = cache.BlockCache(
            options.costs.blocks,
            trio.current_time,
            options.event_delay_s * options.time_scale,
            options.event_loss,
            options.seed,
        )
        self.sequences: dict[str, Sequence] = {}
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.steps = 0
        self.busy_s = 0.0
        self.prompt_tokens_done = 0
        self.output_tokens_done = 0
        self._context_tokens = 0
        self._importing = 0
        self._pins: collections.deque[tuple[float, typing.Sequence[int]]] = (
            collections.deque()
        )
        self._work = trio.lowlevel.ParkingLot()
        self._idle = trio.lowlevel.ParkingLot()
        self._loads: collections.deque[Load] = collections.deque(
            maxlen=LOADS_KEPT
        )

    # Requests

    def submit(self, request: Request) -> Sequence:
        """Take a request; raise RefusedError if it can not be taken."""
        wrong_model = bool(self.models) and request.model not in self.models
        if self.state != 'serving' or wrong_model:
            raise RefusedError(503, 1.0)
        if self._blocks(request) > self.costs.blocks:
            raise RefusedError(400, 0.0)
        if len(self.waiting) >= self.costs.max_waiting:
            raise RefusedError(429, 1.0)
        sequence = Sequence(request, trio.current_time())
        self.sequences[request.request_id] = sequence
        bisect.insort(self.waiting, sequence, key=lambda item: item.order)
        self._note_load()
        self._work.unpark_all()
        return sequence

    def cancel(self, request_id: str) -> bool:
        """Stop a request and free its blocks; False if it is not here."""
        sequence = self.sequences.get(request_id)
        if sequence is None or sequence.ended:
            return False
        self._end(sequence, 'cancelled')
        return True

    async def wait_idle(self) -> None:
        """Return when no request is left."""
        while self.sequences:
            await self._idle.park()

    def _blocks(self, request: Request) -> int:
        tokens = request.prompt_tokens + request.max_tokens
        return -(-tokens // self.costs.block_tokens)

    def _end(self, sequence: Sequence, state: str) -> None:
        if sequence.state == 'running':
            self.running.remove(sequence)
            self.cache.release(sequence.shared, sequence.private)
            self._context_tokens -= self._context(sequence)
        else:
            self.waiting.remove(sequence)
        sequence.state = state
        del self.sequences[sequence.request.request_id]
        sequence.wake()
        if not self.sequences:
            self._note_load()
            self._idle.unpark_all()

    # The batch

    async def run(self) -> None:
        """Run steps while there is work, until cancelled."""
        while True:
            self._admit()
            if not self.running:
                await self._work.park()
                continue
            await self._step()

    def _admit(self) -> None:
        self._unpin()
        while self.waiting and len(self.running) < self.costs.max_running:
            if not self._start(self.waiting[0]):
                return

    def _start(self, sequence: Sequence) -> bool:
        request = sequence.request
        matched = self.cache.match(request.hashes)
        shared = request.hashes[:matched]
        private = self._blocks(request) - matched
        if not self.cache.reserve(shared, private):
            return False
        self.waiting.remove(sequence)
        self.running.append(sequence)
        sequence.state = 'running'
        sequence.shared = list(shared)
        sequence.private = private
        # The last token is always read again: its output is needed.
        sequence.cached_tokens = min(
            matched * self.costs.block_tokens, request.prompt_tokens - 1
        )
        sequence.unread_tokens -= sequence.cached_tokens
        return True

    @staticmethod
    def _context(sequence: Sequence) -> int:
        """Return the context a step reads for a sequence in decode."""
        if sequence.unread_tokens:
            return 0
        return sequence.request.prompt_tokens + sequence.produced

    async def _step(self) -> None:
        budget = costs_module.chunk_tokens(self.costs, self.role)
        decoding = []
        reading = []
        read_tokens = 0
        for sequence in self.running:
            if not sequence.unread_tokens:
                decoding.append(sequence)
            elif read_tokens < budget:
                part = min(sequence.unread_tokens, budget - read_tokens)
                reading.append((sequence, part))
                read_tokens += part
        duration_s = costs_module.step_s(
            self.costs, read_tokens, len(decoding), self._context_tokens
        )
        duration_s *= self.options.slow * self.options.time_scale
        await trio.sleep(duration_s)
        self.steps += 1
        self.busy_s += duration_s
        now_s = trio.current_time()
        for sequence in decoding:
            # A sequence cancelled during the step makes nothing.
            if not sequence.ended:
                self._context_tokens += 1
                self._produce(sequence, now_s)
        for sequence, part in reading:
            if not sequence.ended:
                self._read(sequence, part, now_s)
        self._note_load()

    def _read(self, sequence: Sequence, part: int, now_s: float) -> None:
        sequence.unread_tokens -= part
        self.prompt_tokens_done += part
        request = sequence.request
        done = request.prompt_tokens - sequence.unread_tokens
        whole = min(done // self.costs.block_tokens, len(request.hashes))
        computed = request.hashes[len(sequence.shared) : whole]
        if computed:
            self.cache.publish(computed)
            sequence.shared += computed
            sequence.private -= len(computed)
        if not sequence.unread_tokens:
            self._context_tokens += request.prompt_tokens + 1
            self._produce(sequence, now_s)

    def _produce(self, sequence: Sequence, now_s: float) -> None:
        sequence.produced += 1
        self.output_tokens_done += 1
        if sequence.first_token_s is None:
            sequence.first_token_s = now_s
        sequence.last_token_s = now_s
        if sequence.produced >= sequence.request.max_tokens:
            self._end(sequence, 'finished')
        else:
            sequence.wake()

    # Load reports

    def _note_load(self) -> None:
        now_s = trio.current_time()
        # Notes are thinned out, but not the one that work has ended: an idle
        # engine makes no more, and would be reported as busy for ever.
        recent = self._loads and now_s - self._loads[-1].at_s < LOAD_STEP_S
        if recent and self.sequences:
            return
        self._loads.append(self._load_now())

    def _load_now(self) -> Load:
        rate = self.output_tokens_done / self.busy_s if self.busy_s else 0.0
        unread = sum(item.unread_tokens for item in self.waiting)
        unread += sum(item.unread_tokens for item in self.running)
        return Load(
            trio.current_time(),
            len(self.running),
            len(self.waiting),
            unread,
            self.cache.used,
            self.cache.total,
            rate,
        )

    def load(self) -> Load:
        """Return the state as it was one lag ago."""
        now_s = trio.current_time()
        lag_s = self.options.load_lag_s * self.options.time_scale
        if lag_s <= 0.0:
            return self._load_now()
        found = None
        for load in reversed(self._loads):
            if load.at_s <= now_s - lag_s:
                found = load
                break
        if found is None:
            found = Load(0.0, 0, 0, 0, 0, self.cache.total, 0.0)
        return found._replace(at_s=now_s - lag_s)

    # KV transfers

    def export_kv(self, hashes: typing.Sequence[int]) -> tuple[int, ...]:
        """Return the leading blocks that are cached here."""
        return tuple(hashes[: self.cache.match(hashes)])

    async def import_kv(self, hashes: typing.Sequence[int]) -> None:
        """Cache blocks of another engine after the time the move takes.

        Raise RefusedError if the request that needs them could not start.
        """
        self._unpin()
        missing = hashes[self.cache.match(hashes) :]
        room = self.cache.free - len(missing) - self._importing
        full = len(self.running) >= self.costs.max_running
        if self.waiting or full or room < IMPORT_MARGIN_BLOCKS:
            raise RefusedError(429, IMPORT_RETRY_S)
        self._importing += len(missing)
        duration_s = costs_module.transfer_s(self.costs, len(missing))
        try:
            await trio.sleep(duration_s * self.options.time_scale)
        finally:
            self._importing -= len(missing)
        count = self.cache.insert(hashes)
        # Held for the request that follows: without this, the imports of
        # other requests evict them while it waits, it reads its prompt
        # again, and the engine that was to be spared falls behind for good.
        pinned = hashes[:count]
        self.cache.reserve(pinned, 0)
        until_s = trio.current_time() + IMPORT_HOLD_S * self.options.time_scale
        self._pins.append((until_s, pinned))

    def _unpin(self) -> None:
        now_s = trio.current_time()
        while self._pins and self._pins[0][0] <= now_s:
            _, pinned = self._pins.popleft()
            self.cache.release(pinned, 0)
