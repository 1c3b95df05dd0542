"""Exclusive rights to run non-idempotent requests.

Only the executor that a token names may run the token's requests. Request numbers
grow within a token, so a sliding window, as in IPsec's anti-replay service (RFC 4303,
section 3.4.3), detects duplicates in bounded memory.
"""

from __future__ import annotations

import enum
import random
from collections import deque

from egrethook.balancers.peer_packets import HandOver, WindowState
from egrethook.types import ExecutorId

WINDOW_WIDTH = 256
"""Size of the anti-replay window; numbers further below the highest are refused."""

TOKEN_LIFE_S = 60.0
"""Lifetime of a token, in seconds; its requests are refused afterwards."""

MAX_TOKENS = 100_000
"""Number of remembered tokens at which an executor issues no more."""


class Claim(enum.Enum):
    """Result of claiming a request number; only `NEW` allows it to run.

    `SEEN` numbers were claimed at this executor, `SEEN_ELSEWHERE` ones at another that
    handed over the token. Numbers `BELOW_WINDOW` are too old to tell. `STOPPED` means
    that this executor has given up its rights.
    """

    NEW = "new"
    SEEN = "seen"
    SEEN_ELSEWHERE = "seen elsewhere"
    BELOW_WINDOW = "below the window"
    UNKNOWN_TOKEN = "unknown token"
    STOPPED = "stopped"


class Window:
    """Anti-replay window: records which numbers of one token were claimed.

    Parameters
    ----------
    expires_at : float
        Time at which the token expires, in seconds.
    highest : int
        Highest claimed number.
    seen : list of int, optional
        Claimed numbers within the window, taken over from another executor.
    """

    def __init__(
        self, expires_at: float, highest: int = 0, seen: list[int] | None = None
    ) -> None:
        self.expires_at = expires_at
        self._highest = highest
        self._seen_elsewhere = frozenset(seen or ())
        self._seen = set(self._seen_elsewhere)

    def claim(self, number: int) -> Claim:
        """Claim a number; only the first claim of each is `Claim.NEW`."""
        if number <= self._highest - WINDOW_WIDTH:
            return Claim.BELOW_WINDOW
        if number in self._seen_elsewhere:
            return Claim.SEEN_ELSEWHERE
        if number in self._seen:
            return Claim.SEEN
        self._seen.add(number)
        if number > self._highest:
            self._highest = number
            self._prune()
        return Claim.NEW

    def _prune(self) -> None:
        if len(self._seen) > 2 * WINDOW_WIDTH:
            lowest = self._highest - WINDOW_WIDTH
            self._seen = {number for number in self._seen if number > lowest}

    def state(self, serial: int, now: float) -> WindowState:
        """Return the state that another executor needs to take over."""
        lowest = self._highest - WINDOW_WIDTH
        return WindowState(
            serial=serial,
            highest=self._highest,
            life_ms=max(0, int((self.expires_at - now) * 1000)),
            seen=sorted(number for number in self._seen if number > lowest),
        )


class HandOverStatus(enum.Enum):
    """Result of receiving one part of a hand-over.

    `PARTIAL` means that further parts are missing; `IGNORED`, that the hand-over is
    addressed to another process.
    """

    PARTIAL = "partial"
    COMPLETE = "complete"
    REFUSED = "refused"
    IGNORED = "ignored"


class Rights:
    """Tokens whose requests only this process may run.

    Parameters
    ----------
    executor : ExecutorId
        This process.
    """

    def __init__(self, executor: ExecutorId) -> None:
        self._executor = executor
        self._windows: dict[int, Window] = {}
        self._expiry_order: deque[int] = deque()
        self._partial_transfers: dict[int, dict[int, HandOver]] = {}
        self._completed_transfers: set[int] = set()
        self._inherited: dict[ExecutorId, float] = {}
        self._predecessors: dict[ExecutorId, str] = {}
        self._stopped = False

    @property
    def stopped(self) -> bool:
        """Whether this process has permanently given up its rights."""
        return self._stopped

    @property
    def inherited(self) -> list[ExecutorId]:
        """Executors whose rights were handed over to this one."""
        return list(self._inherited)

    def __len__(self) -> int:
        return len(self._windows)

    def predecessor_of(self, executor: ExecutorId) -> str | None:
        """Return the balancer that handed an executor's rights over to this one."""
        return self._predecessors.get(executor)

    def holds(self, executor: ExecutorId) -> bool:
        """Return whether this process runs requests of tokens that name an executor."""
        return executor == self._executor or executor in self._inherited

    def issue(self, now: float) -> int | None:
        """Issue a token and return its serial; None if stopped or at the limit."""
        if self._stopped or len(self._windows) >= MAX_TOKENS:
            return None
        serial = random.SystemRandom().getrandbits(63)
        self._windows[serial] = Window(now + TOKEN_LIFE_S)
        self._expiry_order.append(serial)
        return serial

    def claim(self, serial: int, number: int, now: float) -> Claim:
        """Claim a request number of a token.

        Requests of an unknown serial never run: the token has expired, or another
        process issued it.
        """
        if self._stopped:
            return Claim.STOPPED
        window = self._windows.get(serial)
        if window is None or window.expires_at <= now:
            return Claim.UNKNOWN_TOKEN
        return window.claim(number)

    def expire(self, now: float) -> None:
        """Remove expired tokens and inherited rights."""
        while self._expiry_order:
            window = self._windows.get(self._expiry_order[0])
            if window is not None and window.expires_at > now:
                break
            self._windows.pop(self._expiry_order.popleft(), None)
        self._inherited = {
            executor: until
            for executor, until in self._inherited.items()
            if until > now
        }
        self._predecessors = {
            executor: name
            for executor, name in self._predecessors.items()
            if executor in self._inherited
        }

    def stop_and_export(self, now: float) -> list[WindowState]:
        """Stop permanently and return the state that the heir needs."""
        self._stopped = True
        return [
            window.state(serial, now)
            for serial, window in self._windows.items()
            if window.expires_at > now
        ]

    def receive(self, message: HandOver, now: float) -> HandOverStatus:
        """Receive one part of a hand-over.

        No request of the handed-over tokens may run here until all parts have
        arrived. A process that has stopped permanently refuses a hand-over that it
        has not received completely. It can't complete it later, so the sender may
        try another heir.
        """
        if message.heir != self._executor:
            return HandOverStatus.IGNORED
        if message.transfer_id in self._completed_transfers:
            return HandOverStatus.COMPLETE
        if self._stopped:
            return HandOverStatus.REFUSED
        parts = self._partial_transfers.setdefault(message.transfer_id, {})
        parts[message.part] = message
        if len(parts) < message.parts:
            return HandOverStatus.PARTIAL
        del self._partial_transfers[message.transfer_id]
        self._completed_transfers.add(message.transfer_id)
        for executor in (message.executor, *message.inherited):
            self._inherited[executor] = now + TOKEN_LIFE_S
            self._predecessors[executor] = message.executor.balancer
        for part in parts.values():
            self._import_windows(part.windows, now)
        return HandOverStatus.COMPLETE

    def _import_windows(self, states: list[WindowState], now: float) -> None:
        for state in states:
            expires_at = now + state.life_ms / 1000
            self._windows[state.serial] = Window(expires_at, state.highest, state.seen)
            self._expiry_order.append(state.serial)
