"""Start and stop orders of an agent for the runs of its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.agent import attempt_state as states
from damaskpin.agent import calls
from damaskpin.agent import events
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.agent import fencing
    from damaskpin.model import work

# Seconds before a start or stop call is repeated after a failed call.
RETRY_INTERVAL_S = 0.15

# Start calls that are made at once. Others stay with the agent, so that an
# order to stop or a drain still reaches them.
MAX_STARTS_UNDER_WAY = 8

# Seconds before an accepted stop call is repeated if the worker still lists
# the run as running.
STOP_RETRY_INTERVAL_S = 1.5

# Seconds for which an accepted or refused attempt is kept after the last order
# for it, so that a report with its result reaches the coordinator.
SETTLED_RETENTION_S = 5.0


class Attempts:
    """Start and stop attempts for one worker process and one coordinator.

    An attempt is the agent's record of the start and stop calls for one run. A
    start call without an answer is repeated. Before a start that may have
    reached the worker is reported as refused, the run is stopped: the worker
    then refuses a delayed start call, and a list of runs that was requested
    after the stop proves that the run does not exist.

    :ivar report_needed: whether a result must be reported to the coordinator
        at once.
    """

    __slots__ = ('_attempts_by_run', 'report_needed')

    def __init__(self) -> None:
        self._attempts_by_run: dict[work.Run, states.Attempt] = {}
        self.report_needed = False

    def clear(self) -> None:
        """Discard all attempts."""
        self._attempts_by_run.clear()

    def order_start(self, now: float, order: orders.StartOrder) -> None:
        """Record an order to start a run unless the run is known already."""
        attempt = self._attempts_by_run.get(order.run)
        if attempt is None:
            attempt = states.Attempt(order.run, order, states.State.PENDING)
            if order.repeated:
                attempt.undecided_until = now + calls.MAX_CALL_DELAY_S
            self._attempts_by_run[order.run] = attempt
        attempt.last_ordered_at = now

    def order_stop(self, now: float, run: work.Run) -> bool:
        """Record an order to stop a run.

        :returns: whether the run was not being stopped before.
        """
        attempt = self._attempts_by_run.setdefault(
            run, states.Attempt(run, None, states.State.ACCEPTED)
        )
        attempt.last_ordered_at = now
        is_accepted = attempt.state is states.State.ACCEPTED
        if not attempt.is_unsettled_start and not is_accepted:
            return False
        attempt.stop(now, 'stopped')
        return True

    def withdraw_starts(
        self, now: float, ordered: set[work.Run], listed: set[work.Run]
    ) -> None:
        """Abandon the starts that the latest orders no longer contain.

        The coordinator may have started the runs of a silent worker elsewhere.
        A call that is under way may still arrive, so its run is stopped.

        :param ordered: runs that the latest orders tell the agent to start.
        :param listed: runs that the worker lists.
        """
        for run, attempt in list(self._attempts_by_run.items()):
            if not attempt.is_unsettled_start or run in ordered:
                continue
            if run in listed:
                attempt.state = states.State.ACCEPTED
            elif attempt.is_pending and not attempt.may_have_been_sent:
                del self._attempts_by_run[run]
            else:
                attempt.stop(now, 'no longer ordered')

    def collect_due_stops(
        self, now: float, lifetime: work.Lifetime, token: fencing.CallToken
    ) -> list[calls.StopCall]:
        """Return the stop calls that are due and schedule their repeats."""
        due_calls = []
        for attempt in self._attempts_by_run.values():
            if (
                attempt.state is not states.State.STOPPING
                or attempt.next_call_at > now
            ):
                continue
            attempt.next_call_at = now + STOP_RETRY_INTERVAL_S
            due_calls.append(
                calls.StopCall(lifetime, token.fence, attempt.run, token.value)
            )
        return due_calls

    def collect_due_starts(
        self,
        now: float,
        lifetime: work.Lifetime,
        token: fencing.CallToken,
        until: int,
        has_lists: bool,
    ) -> list[calls.StartCall]:
        """Return the start calls that are due and mark them as being sent.

        :param until: expiry of the lease in milliseconds on the worker's
            clock.
        :param has_lists: whether this process has read the worker's complete
            lists.
        """
        due_calls = []
        known = self._attempts_by_run.values()
        free = MAX_STARTS_UNDER_WAY - sum(row.is_calling for row in known)
        for attempt in known:
            if len(due_calls) >= free:
                break
            if not attempt.is_pending or attempt.order is None:
                continue
            if attempt.next_call_at > now or attempt.needs_lists(has_lists):
                continue
            attempt.state = states.State.CALLING
            attempt.called_at = now
            due_calls.append(
                calls.StartCall(
                    lifetime, token.fence, until, attempt.order, token.value
                )
            )
        return due_calls

    def refuse_pending(self, now: float, reason: str, has_lists: bool) -> None:
        """Abandon the pending starts, for example on a draining worker.

        :param has_lists: whether this process has read the worker's complete
            lists.
        """
        for attempt in self._attempts_by_run.values():
            if not attempt.is_pending:
                continue
            if not attempt.needs_lists(has_lists):
                self._abandon_start(now, attempt, reason)

    def refuse_lapsed(
        self, now: float, running: list[work.Run], reason: str
    ) -> int:
        """Mark runs as refused once the worker's lease has expired.

        Left out are runs with an undecided start call: the clock of the next
        process starts anew, so that it takes the call for one in time.

        :param running: runs that the worker listed last as running.
        :param reason: reason to report to the coordinator.
        :returns: number of runs that were newly marked.
        """
        for run in running:
            if run not in self._attempts_by_run:
                self._attempts_by_run[run] = states.Attempt(
                    run, None, states.State.ACCEPTED
                )
        count = 0
        for attempt in self._attempts_by_run.values():
            if attempt.state is states.State.REFUSED:
                continue
            if attempt.get_undecided_time(now) > 0:
                continue
            attempt.state = states.State.REFUSED
            attempt.reason = reason
            attempt.last_ordered_at = now
            count += 1
        if count:
            self.report_needed = True
        return count

    def handle_start_result(
        self, now: float, call: calls.StartCall, result: calls.Result
    ) -> None:
        """Update the attempt for a run from the result of its start call."""
        attempt = self._attempts_by_run.get(call.order.run)
        if attempt is not None:
            attempt.was_accepted |= isinstance(result, calls.Accepted)
            if isinstance(result, calls.Unanswered) and result.sent:
                attempt.undecided_until = now + calls.MAX_CALL_DELAY_S
        if attempt is None or attempt.state is not states.State.CALLING:
            events.log_late_start_result(call, attempt, result)
            return
        match result:
            case calls.Accepted():
                attempt.state = states.State.ACCEPTED
                self.report_needed = True
            case calls.Refused(reason=reason, outranked=False):
                self._abandon_start(now, attempt, reason)
            case _:
                attempt.state = states.State.PENDING
                attempt.next_call_at = now + RETRY_INTERVAL_S
        if isinstance(result, calls.Withheld):
            return
        events.log_start_result(now, attempt, call, result)

    def handle_stop_result(
        self, now: float, call: calls.StopCall, result: calls.Result
    ) -> None:
        """Update the attempt for a run from the result of its stop call."""
        attempt = self._attempts_by_run.get(call.run)
        if attempt is None or attempt.state is not states.State.STOPPING:
            return
        match result:
            case calls.Accepted():
                attempt.state = states.State.STOP_ACKNOWLEDGED
                attempt.stop_acknowledged_at = now
                attempt.next_call_at = now + STOP_RETRY_INTERVAL_S
            case _:
                attempt.next_call_at = now + RETRY_INTERVAL_S

    def confirm_stops(
        self, now: float, sent: float, lists: calls.Lists
    ) -> None:
        """Mark stopped runs as refused once the worker no longer lists them.

        Lists that were requested before the stop was acknowledged are ignored.
        Incomplete lists may lack the end of a run, which does not run then but
        may have ended well. A stop is repeated if the run is still listed as
        running.

        :param sent: time in seconds at which the lists were requested.
        """
        running = {row.run for row in lists.running}
        listed = running | {row.run for row in lists.ended}
        for attempt in self._attempts_by_run.values():
            if (
                attempt.state is not states.State.STOP_ACKNOWLEDGED
                or attempt.stop_acknowledged_at > sent
            ):
                continue
            if attempt.run not in listed:
                if lists.complete:
                    attempt.state = states.State.REFUSED
                    self.report_needed = True
            elif attempt.run in running and attempt.next_call_at <= now:
                attempt.state = states.State.STOPPING

    def apply_running(self, now: float, lists: calls.Lists) -> None:
        """Update the attempts of the runs that the worker lists as running.

        A former process of the agent may have started a run that is pending
        here, or that is refused; the latter is stopped.
        """
        for row in lists.running:
            attempt = self._attempts_by_run.get(row.run)
            if attempt is None:
                continue
            match attempt.state:
                case states.State.PENDING:
                    attempt.state = states.State.ACCEPTED
                case states.State.REFUSED:
                    events.log_contradiction(
                        row.run, attempt.reason, lists.born
                    )
                    attempt.state = states.State.STOPPING
                    attempt.next_call_at = now

    def forget_settled(self, now: float, listed: set[work.Run]) -> None:
        """Remove accepted and refused attempts that are no longer ordered.

        They are kept for ``SETTLED_RETENTION_S`` after the last order, so that
        the coordinator has certainly received their result.

        :param listed: runs that the worker lists.
        """
        for run, attempt in list(self._attempts_by_run.items()):
            if now - attempt.last_ordered_at <= SETTLED_RETENTION_S:
                continue
            if attempt.is_settled or run in listed:
                del self._attempts_by_run[run]

    def get_undecided_time(self, now: float) -> float:
        """Return the seconds for which a start call may be carried out."""
        return max(
            (
                attempt.get_undecided_time(now)
                for attempt in self._attempts_by_run.values()
                if attempt.state is not states.State.REFUSED
            ),
            default=0.0,
        )

    def has_unconfirmed_stop(self) -> bool:
        """Return whether lists must still confirm an acknowledged stop."""
        for attempt in self._attempts_by_run.values():
            if attempt.state is states.State.STOP_ACKNOWLEDGED:
                return True
        return False

    def list_accepted(self, listed: set[work.Run]) -> tuple[work.Run, ...]:
        """Return the runs whose start call the worker has accepted.

        :param listed: runs that a report lists anyway, which are left out.
        """
        return tuple(
            attempt.run
            for attempt in self._attempts_by_run.values()
            if attempt.state is states.State.ACCEPTED
            and attempt.run not in listed
        )

    def list_refused(self) -> tuple[orders.RefusedRun, ...]:
        """Return the runs that do not run and never will, with reasons."""
        return tuple(
            orders.RefusedRun(attempt.run, attempt.reason)
            for attempt in self._attempts_by_run.values()
            if attempt.state is states.State.REFUSED
        )

    def list_calls(self) -> dict[work.Run, states.Attempt]:
        """Return the attempts whose run may have started."""
        return {
            attempt.run: attempt
            for attempt in self._attempts_by_run.values()
            if attempt.may_have_started
        }

    def _abandon_start(
        self, now: float, attempt: states.Attempt, reason: str
    ) -> None:
        if attempt.may_have_been_sent or reason == 'old':
            attempt.stop(now, reason)
            return
        attempt.reason = reason
        attempt.state = states.State.REFUSED
        self.report_needed = True
