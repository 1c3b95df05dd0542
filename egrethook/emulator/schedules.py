"""Seeded random fault schedules that check at-most-once execution.

A few nodes exchange messages without sockets, on a manual clock. Each node is a
balancer with the real executor, placement, membership and rights to run requests.
Messages in flight are kept unordered: each step may deliver, drop or duplicate any of
them. Nodes crash, leave and see different memberships.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from egrethook.addresses import Address
from egrethook.callers.packets import Grant, Granted, Refused, Run
from egrethook.emulator.builders import (
    NODES,
    SERVICE,
    ManualClock,
    make_configuration,
)
from egrethook.emulator.schedule_nodes import Execution, ScheduleNode
from egrethook.upstreams.admission import Report, ShedReason
from egrethook.verdicts import Verdict

CALLER_ADDRESS = Address("192.0.2.1", 9000)
DEADLINE_MS = 30_000


@dataclass
class PendingRequest:
    """A request of the caller: its latest attempt and the index of the last copy.

    No attempt follows once the request has `ended`.
    """

    run: Run
    copies: int = 1
    ended: bool = False


@dataclass
class ScheduleCounts:
    """Counts of outcomes; `doubled` and `false_refusals` must stay 0.

    Parameters
    ----------
    doubled : int
        Executions of a request that had been executed before.
    false_refusals : int
        Attempts refused as not run that were executed.
    refused, answered, unknown : int
        Attempts refused as not run, answered, and refused with an unknown outcome.
    """

    doubled: int = 0
    false_refusals: int = 0
    refused: int = 0
    answered: int = 0
    unknown: int = 0


class ScheduleWorld:
    """The nodes, a caller and the messages in flight, changed by random steps.

    Parameters
    ----------
    seed : int
        Seed of the schedule.

    Attributes
    ----------
    bag : list
        Messages in flight, unordered, each with the name of its destination node.
    faults : ScheduleCounts
        Counts of outcomes so far.
    steps : list
        The possible steps, each with its relative frequency.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.configuration = make_configuration()
        self.bag: list[tuple[str, Any]] = []
        self.executions: list[Execution] = []
        self.executions_by_request: Counter[int] = Counter()
        self.executions_by_attempt: Counter[tuple[int, int]] = Counter()
        self.refused_attempts: set[tuple[int, int]] = set()
        self.faults = ScheduleCounts()
        self._incarnations = itertools.count(1)
        self._numbers = itertools.count(1)
        self._granted: list[Granted] = []
        self._sequences: Counter[bytes] = Counter()
        self._requests: dict[int, PendingRequest] = {}
        self.nodes = {
            name: ScheduleNode(self, name, next(self._incarnations)) for name in NODES
        }
        self.steps: list[tuple[Callable[[], None], int]] = [
            (self.grant, 3),
            (self.send_request, 4),
            (self.copy_request, 5),
            (self.deliver, 20),
            (self.drop, 1),
            (self.duplicate, 3),
            (self.begin_execution, 8),
            (self.finish_execution, 6),
            (self.shed_execution, 1),
            (self.break_link, 1),
            (self.crash, 1),
            (self.leave, 1),
            (self.heartbeat, 4),
            (self.avoid_members, 1),
            (self.advance_time, 2),
        ]

    def run_steps(self, steps: int) -> ScheduleCounts:
        """Execute random steps and return the counts."""
        actions = [step for step, _ in self.steps]
        weights = [weight for _, weight in self.steps]
        for action in self.rng.choices(actions, weights, k=steps):
            action()
        return self.faults

    # Network interface of the nodes --------------------------------------------

    def post(self, target: str, message: Any) -> None:
        """Send a message to a node."""
        self.bag.append((target, message))

    def send(self, address: Address, packet: Any) -> None:
        """Handle a packet that a node sends to the caller."""
        if isinstance(packet, Granted):
            self._granted.append(packet)
        elif isinstance(packet, Refused):
            self._on_refused(packet)

    def _on_refused(self, refused: Refused) -> None:
        key = (refused.number, refused.attempt)
        if refused.verdict is Verdict.NOT_RUN:
            self.refused_attempts.add(key)
            self._check_refusal(key)
            self._retry(refused.number, refused.attempt)
        else:
            self.faults.unknown += 1

    def _retry(self, number: int, attempt: int) -> None:
        """Start a new attempt with another token, as the caller library does."""
        request = self._requests[number]
        if request.run.attempt != attempt or request.ended:
            return
        self.faults.refused += 1
        granted = self._random_token()
        if granted is None:
            request.ended = True
            return
        request.run = replace(
            request.run,
            attempt=attempt + 1,
            token=granted.token,
            sequence=self._next_sequence(granted),
        )
        self._post_copy(request)

    def _check_refusal(self, key: tuple[int, int]) -> None:
        if key in self.refused_attempts and self.executions_by_attempt[key]:
            self.faults.false_refusals += 1

    # Steps of the caller -------------------------------------------------------

    def grant(self) -> None:
        """Request a token from a random node."""
        number = next(self._numbers)
        packet = Grant(SERVICE, 1, number, CALLER_ADDRESS.host, CALLER_ADDRESS.port)
        node = self._random_node()
        node.executor.issuer.grant(packet, "", queue=True)

    def _random_token(self) -> Granted | None:
        return self.rng.choice(self._granted) if self._granted else None

    def _next_sequence(self, granted: Granted) -> int:
        self._sequences[granted.token] += 1
        return self._sequences[granted.token]

    def send_request(self) -> None:
        """Send a new request with a random granted token."""
        granted = self._random_token()
        if granted is None:
            return
        number = next(self._numbers)
        run = Run(
            service_name=SERVICE,
            caller_id=1,
            number=number,
            attempt=1,
            idempotent=False,
            deadline_ms=DEADLINE_MS,
            caller_host=CALLER_ADDRESS.host,
            caller_port=CALLER_ADDRESS.port,
            sequence=self._next_sequence(granted),
            token=granted.token,
        )
        self._requests[number] = PendingRequest(run)
        self._post_copy(self._requests[number])

    def copy_request(self) -> None:
        """Send another copy of a random request to a random node."""
        if self._requests:
            self._post_copy(self.rng.choice(list(self._requests.values())))

    def _post_copy(self, request: PendingRequest) -> None:
        request.copies += 1
        # The message format limits the copy index to 64.
        copy = replace(request.run, copy=min(64, request.copies))
        self.post(self.rng.choice(NODES), copy)

    # Steps of the network ---------------------------------------------------------

    def _random_node(self) -> ScheduleNode:
        return self.nodes[self.rng.choice(NODES)]

    def deliver(self) -> None:
        """Deliver a random message."""
        if self.bag:
            target, message = self.bag.pop(self.rng.randrange(len(self.bag)))
            self.nodes[target].receive(message)

    def drop(self) -> None:
        """Drop a random message."""
        if self.bag:
            self.bag.pop(self.rng.randrange(len(self.bag)))

    def duplicate(self) -> None:
        """Duplicate a random message."""
        if self.bag:
            self.bag.append(self.rng.choice(self.bag))

    # Steps of the upstreams -----------------------------------------------------

    def begin_execution(self) -> None:
        """Start executing a request, possibly after its link was lost."""
        waiting = [execution for execution in self.executions if not execution.begun]
        if not waiting:
            return
        execution = self.rng.choice(waiting)
        execution.begun = True
        run = execution.run
        self.executions_by_request[run.number] += 1
        self.executions_by_attempt[run.number, run.attempt] += 1
        if self.executions_by_request[run.number] > 1:
            self.faults.doubled += 1
        self._check_refusal((run.number, run.attempt))

    def finish_execution(self) -> None:
        """Answer a request that has begun."""
        execution = self._remove_random_execution(begun=True)
        if execution is not None:
            self.faults.answered += 1
            execution.node.executor.answer(
                execution.upstream, execution.run_id, 0, 1, b"answer"
            )

    def shed_execution(self) -> None:
        """Shed a request that has not begun."""
        execution = self._remove_random_execution(begun=False)
        if execution is not None:
            execution.node.executor.shed(
                execution.upstream, execution.run_id, ShedReason.BUSY
            )

    def _remove_random_execution(self, begun: bool) -> Execution | None:
        matching = [e for e in self.executions if e.begun is begun]
        if not matching:
            return None
        execution = self.rng.choice(matching)
        self.executions.remove(execution)
        return execution

    def break_link(self) -> None:
        """Reconnect a node to its upstreams; requests sent before may still execute."""
        node = self._random_node()
        for name, _ in list(node.executor.pool.items()):
            node.executor.link_lost(name)
            node.executor.connected(name, Report(1, 0, 0, 100))

    # Steps of the nodes -----------------------------------------------------------

    def crash(self) -> None:
        """Replace a node by a new incarnation without its state."""
        name = self.rng.choice(NODES)
        self.nodes[name] = ScheduleNode(self, name, next(self._incarnations))

    def leave(self) -> None:
        """Start the hand-over of a node, or resend its unacknowledged parts."""
        node = self._random_node()
        if node.unacked_parts:
            node.resend_unacked_parts()
        else:
            node.leave()

    def heartbeat(self) -> None:
        """Deliver the heartbeat of one node to another."""
        sender, receiver = self.rng.sample(NODES, 2)
        node = self.nodes[sender]
        heartbeat = node.membership.heartbeat(1, node.executor.rights.inherited)
        self.nodes[receiver].membership.observe(heartbeat, self.clock.now())

    def avoid_members(self) -> None:
        """Make a node avoid some members, as after repeated unacknowledged relays."""
        node = self._random_node()
        for name in node.membership.members:
            if self.rng.random() < 0.5:
                for _ in range(2):
                    node.membership.relay_unacked(name, self.clock.now())

    def advance_time(self) -> None:
        """Advance the clock and run the periodic work of all nodes."""
        self.clock.advance(self.rng.choice([0.01, 0.5, 5.0]))
        for node in self.nodes.values():
            node.executor.tick()
