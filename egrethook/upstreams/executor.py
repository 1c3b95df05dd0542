"""Admits requests and flows to the upstreams that this balancer owns."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from egrethook.addresses import Address
from egrethook.callers.packets import Cancel, Done, Fetch, Run
from egrethook.callers.tokens import Token, new_serial
from egrethook.clock import Clock
from egrethook.published.configuration import Limits
from egrethook.retries import RetryBudget
from egrethook.types import ExecutorId
from egrethook.upstreams.admission import Report, ShedReason
from egrethook.upstreams.executor_counts import ExecutorCounts
from egrethook.upstreams.interfaces import (
    ConfigurationSource,
    PacketSender,
    RequestRelay,
)
from egrethook.upstreams.issuer import TokenIssuer
from egrethook.upstreams.pool import OwnedUpstream, UpstreamPool
from egrethook.upstreams.records import (
    Record,
    RecordState,
    RecordTable,
    key_of,
)
from egrethook.upstreams.replies import Replies
from egrethook.upstreams.rights import Claim, Rights
from egrethook.verdicts import Outcome, Refusal, Verdict

MIN_RETRY_AFTER_MS = 20
"""Lower bound of the retry delay sent with a refusal, in milliseconds."""

_CLAIM_REFUSALS = {
    Claim.BELOW_WINDOW: Refusal.BELOW_WINDOW,
    Claim.UNKNOWN_TOKEN: Refusal.UNKNOWN_TOKEN,
    Claim.STOPPED: Refusal.MOVED,
    Claim.SEEN: Refusal.RECORD_LOST,
    Claim.SEEN_ELSEWHERE: Refusal.EXECUTOR_GONE,
}
"""Refusal codes for duplicates without a record; their verdict is `MAY_HAVE_RUN`."""


class Executor:
    """Runs requests on owned upstreams; non-idempotent ones at most once.

    Parameters
    ----------
    identity : ExecutorId
        This process.
    source : ConfigurationSource
        The active configuration.
    sender : PacketSender
        Sends packets to callers.
    request_relay : RequestRelay
        Relays idempotent requests to other owners.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        identity: ExecutorId,
        source: ConfigurationSource,
        sender: PacketSender,
        request_relay: RequestRelay,
        clock: Clock,
    ) -> None:
        self._source = source
        self._replies = Replies(sender)
        self._request_relay = request_relay
        self._clock = clock
        self._pool = UpstreamPool(clock)
        self._records = RecordTable()
        self._running: dict[int, Record] = {}
        self._run_ids = itertools.count(1)
        self._rights = Rights(identity)
        # The defaults of `Limits`, which apply until `configure` is called.
        self._budget = RetryBudget(0.1, 5, clock.now())
        self._issuer = TokenIssuer(
            identity, source, self._pool, self._rights, sender, clock
        )
        self.counts = ExecutorCounts()

    @property
    def rights(self) -> Rights:
        """Tokens whose requests only this process may run."""
        return self._rights

    @property
    def pool(self) -> UpstreamPool:
        """Upstreams that are owned or still have work here."""
        return self._pool

    @property
    def issuer(self) -> TokenIssuer:
        """Admits flows and issues tokens."""
        return self._issuer

    @property
    def unfinished(self) -> int:
        """Queued and running requests."""
        return self._pool.waiting + len(self._running)

    # Ownership -----------------------------------------------------------

    def evacuate(self, name: str) -> None:
        """Reassign requests queued for an upstream of a failure domain that is out."""
        self._reassign_all(self._pool.evacuate(name), name)

    def drop(self, name: str) -> None:
        """Remove an upstream; requests still running there may have run."""
        self.link_lost(name)
        self._reassign_all(self._pool.drop(name), name)

    def configure(self, limits: Limits) -> None:
        """Apply the limits of another preset."""
        self._budget.configure(limits.retry_share, limits.retry_floor)

    # Requests ------------------------------------------------------------

    def run_granted(self, run: Run, token: Token) -> bool:
        """Handle a request that only this executor may run.

        Returns
        -------
        bool
            False if another executor must be asked: one that claimed the request
            before a hand-over, or the heir of this one.
        """
        now = self._clock.now()
        claim = self._rights.claim(token.serial, run.sequence, now)
        record = self._records.get(key_of(run))
        if record is not None:
            self._replies.send_state(record)
            return True
        if claim is Claim.SEEN_ELSEWHERE or claim is Claim.STOPPED:
            return False
        if claim is not Claim.NEW:
            self.refuse_unknown(run, token.caller, _CLAIM_REFUSALS[claim])
            return True
        self._budget.record_request(now)
        record = self._record(run, token.caller, run.token)
        if not self._start_or_queue(record, token.upstream, queue=True):
            self._end(record, Verdict.NOT_RUN, self._no_room_code(run.service_name))
        return True

    def refuse_unknown(self, run: Run, caller: Address, code: Refusal) -> None:
        """Refuse a duplicate whose outcome this process does not know."""
        self.counts.unknown += 1
        self._replies.refuse_unknown(run, caller, code)

    def run_idempotent(self, run: Run, target: str, queue: bool) -> bool:
        """Handle an idempotent request.

        Parameters
        ----------
        target : str
            Name of the upstream to prefer.
        queue : bool
            Whether to queue the request if no slot is free.

        Returns
        -------
        bool
            False if no owned upstream has room.
        """
        record = self._records.get(key_of(run))
        if record is not None:
            self._replies.send_state(record)
            return True
        owned = self._pool.owned_for(run.service_name)
        if not owned:
            return False
        if not queue and not self._pool.with_free_slot(run.service_name):
            return False
        self._budget.record_request(self._clock.now())
        caller = Address(run.caller_host, run.caller_port)
        endpoint = owned[0].admission.endpoint
        token = self._issuer.create_token(endpoint, caller, new_serial())
        record = self._record(run, caller, token)
        if self._start_or_queue(record, target, queue):
            return True
        self._records.remove(record.key)
        return False

    def _record(self, run: Run, caller: Address, token: bytes) -> Record:
        deadline = self._clock.now() + run.deadline_ms / 1000
        record = Record(run, caller, deadline, token)
        self._records.add(record)
        return record

    def _start_or_queue(
        self, record: Record, target: str, queue: bool, avoid: str = ""
    ) -> bool:
        """Start a request on a free slot, or queue it where the wait is shortest."""
        service = record.run.service_name
        free = self._pool.with_free_slot(service, target, avoid)
        if free:
            self._start(record, free[0])
            return True
        owned = self._pool.owned_for(service)
        if not queue or not owned:
            return False
        shortest = min(owned, key=lambda upstream: upstream.expected_wait_s)
        if not self._enqueue(record, shortest):
            return False
        record.state = RecordState.QUEUED
        self._replies.send_accepted(record)
        return True

    def _enqueue(self, record: Record, upstream: OwnedUpstream) -> bool:
        configuration = self._source.configuration
        per_slot = configuration.limits.queue_per_slot if configuration else 0
        admission = upstream.admission
        return upstream.backlog.offer(
            record,
            record.deadline,
            self._clock.now(),
            service_s=admission.service_s,
            slots=admission.slots,
            limit=per_slot * admission.slots,
        )

    def _start(self, record: Record, upstream: OwnedUpstream) -> None:
        now = self._clock.now()
        upstream.admission.start()
        record.state = RecordState.RUNNING
        record.upstream = upstream.name
        record.run_id = next(self._run_ids)
        record.started_at = now
        self._running[record.run_id] = record
        self.counts.started += 1
        self._replies.send_accepted(record)
        deadline_ms = max(1, int((record.deadline - now) * 1000))
        upstream.link.execute(record.run_id, record.run, deadline_ms)

    def _no_room_code(self, service: str) -> Refusal:
        return Refusal.FULL if self._pool.owned_for(service) else Refusal.MOVED

    def _end(self, record: Record, verdict: Verdict, code: Refusal) -> None:
        """End a request without an answer."""
        # The first packet of an idempotent request names no executor, so another
        # copy may run elsewhere: no process can rule out that it has run.
        if record.run.idempotent:
            verdict = Verdict.MAY_HAVE_RUN
        counts = self.counts
        if verdict is Verdict.NOT_RUN:
            counts.refused += 1
        else:
            counts.unknown += 1
        record.state = RecordState.REFUSED
        record.outcome = Outcome(verdict, code, self._retry_after_ms(record))
        self._replies.send_refused(record)

    def _retry_after_ms(self, record: Record) -> int:
        wait_s = self._pool.shortest_wait_s(record.run.service_name)
        return max(MIN_RETRY_AFTER_MS, int(wait_s * 1000))

    # Other packets from callers -------------------------------------------

    def fetch(self, packet: Fetch) -> None:
        """Resend chunks that the caller is missing."""
        record = self._records.get(key_of(packet))
        if record is not None and record.answer_id == packet.answer_id:
            self._replies.send_chunks(record, packet.missing)

    def done(self, packet: Done) -> None:
        """Remove the record of an answer that the caller has completely."""
        record = self._records.get(key_of(packet))
        if record is not None and record.state is RecordState.ANSWERED:
            self._records.remove(record.key)

    def cancel(self, packet: Cancel) -> None:
        """Cancel a request that its caller no longer waits for."""
        record = self._records.get(key_of(packet))
        if record is not None:
            self._cancel(record, Refusal.CANCELLED)

    def _cancel(self, record: Record, code: Refusal) -> None:
        upstream = self._pool.get(record.upstream)
        if record.state is RecordState.QUEUED:
            for _, owned in self._pool.items():
                owned.backlog.remove(record)
            self._end(record, Verdict.NOT_RUN, code)
        elif record.state is RecordState.RUNNING and not record.cancelled:
            record.cancelled = True
            if upstream is not None:
                upstream.link.cancel(record.run_id)

    # Events from upstreams ------------------------------------------------

    def connected(self, name: str, report: Report) -> None:
        """Handle an opened link to an upstream."""
        self._pool[name].admission.connect(report, self._clock.now())
        self._start_waiting(name)

    def report(self, name: str, report: Report) -> None:
        """Handle a load report."""
        self._pool[name].admission.report(report, self._clock.now())
        self._start_waiting(name)

    def answer(
        self, name: str, run_id: int, index: int, count: int, payload: bytes
    ) -> None:
        """Forward a chunk of an answer to its caller."""
        record = self._running.get(run_id)
        if record is None or record.upstream != name or index != len(record.chunks):
            return
        record.chunk_count = count
        self._records.add_chunk(record, payload)
        self._replies.send_new_chunk(record, index)
        if index + 1 == count:
            self._finish(record, name)

    def _finish(self, record: Record, name: str) -> None:
        now = self._clock.now()
        del self._running[record.run_id]
        record.state = RecordState.ANSWERED
        self.counts.answered += 1
        admission = self._pool[name].admission
        if admission.finish(now - record.started_at, now):
            self.counts.turned_cold += 1
        self._start_waiting(name)

    def shed(self, name: str, run_id: int, reason: ShedReason) -> None:
        """Handle a request that an upstream refused without running it."""
        record = self._running.pop(run_id, None)
        if record is None:
            return
        self.counts.shed += 1
        self._pool[name].admission.shed(reason, self._clock.now())
        self._retry_elsewhere(record, name, Verdict.NOT_RUN, Refusal.SHED)

    def stopped(self, name: str, run_id: int, started: bool) -> None:
        """Handle a cancelled request that an upstream stopped."""
        record = self._running.pop(run_id, None)
        if record is None:
            return
        self._pool[name].admission.release()
        verdict = Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN
        self._end(record, verdict, Refusal.CANCELLED)
        self._start_waiting(name)

    def link_lost(self, name: str) -> None:
        """Handle a lost link: retry idempotent requests, end the others."""
        upstream = self._pool.get(name)
        if upstream is None:
            return
        upstream.admission.disconnect()
        lost = [record for record in self._running.values() if record.upstream == name]
        for record in lost:
            del self._running[record.run_id]
            if record.run.idempotent:
                self._retry_elsewhere(
                    record, name, Verdict.MAY_HAVE_RUN, Refusal.LINK_LOST
                )
            else:
                self._end(record, Verdict.MAY_HAVE_RUN, Refusal.LINK_LOST)

    def _reassign_all(self, records: Iterable[Record], name: str) -> None:
        """Reassign queued requests, none of which has been sent to an upstream."""
        for record in records:
            self._reassign(record, name, Verdict.NOT_RUN, Refusal.MOVED)

    def _retry_elsewhere(
        self, record: Record, failed: str, verdict: Verdict, code: Refusal
    ) -> None:
        """Retry a request elsewhere if the retry budget allows it.

        Only for requests that have not run or may run more than once.
        """
        if record.cancelled:
            self._end(record, verdict, Refusal.CANCELLED)
        elif not self._budget.try_retry(self._clock.now()):
            self._end(record, verdict, Refusal.RETRIES_SPENT)
        else:
            self.counts.retried += 1
            self._records.restart(record)
            self._reassign(record, failed, verdict, code)

    def _reassign(
        self, record: Record, failed: str, verdict: Verdict, code: Refusal
    ) -> None:
        """Move a request to another upstream, here or at another owner."""
        if record.deadline <= self._clock.now():
            self._end(record, verdict, Refusal.DEADLINE)
            return
        # An idempotent request is relayed instead of queued; the others must stay here.
        queue = not record.run.idempotent
        if self._start_or_queue(record, "", queue, avoid=failed):
            return
        if record.run.idempotent and self._request_relay.relay_elsewhere(
            record.run, failed
        ):
            self._records.remove(record.key)
            return
        self._end(record, verdict, code)

    def _start_waiting(self, name: str) -> None:
        """Start queued requests on free slots."""
        upstream = self._pool.get(name)
        while upstream is not None and upstream.admission.has_slot:
            record = upstream.backlog.pop()
            if record is None:
                return
            self._start(record, upstream)

    # Time -----------------------------------------------------------------

    def tick(self) -> None:
        """End requests past their deadline and remove expired records and tokens."""
        now = self._clock.now()
        for name, upstream in self._pool.items():
            for record in upstream.backlog.expire(now):
                self._end(record, Verdict.NOT_RUN, Refusal.DEADLINE)
            if not upstream.admission.accepts_work:
                self._reassign_all(upstream.backlog.drain(), name)
            self._start_waiting(name)
        for record in list(self._running.values()):
            if record.deadline <= now:
                self._cancel(record, Refusal.DEADLINE)
        for record in self._records.expire(now):
            if self._running.pop(record.run_id, None) is not None:
                self._release(record)
        self._rights.expire(now)

    def _release(self, record: Record) -> None:
        upstream = self._pool.get(record.upstream)
        if upstream is not None:
            upstream.admission.release()
