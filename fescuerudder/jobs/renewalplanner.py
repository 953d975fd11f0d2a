"""Renewals of the workers: when each is due, with which lease, and how long it may wait."""

from fescuerudder.jobs.answerloss import AnswerLoss
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerport import RenewOrder, Report
from fescuerudder.jobs.workerrecord import WorkerRecord

RENEWAL_WAIT_MS = 1000
"""Time that a worker waits for an attempt to end before it reports; a lease outlasts several such
waits."""

LOW_HEADROOM = 2.0
LOW_HEADROOM_WAIT_MS = 400
"""The wait, instead of RENEWAL_WAIT_MS, on workers where a task beside best-effort ones is expected
to have less headroom than LOW_HEADROOM."""

LOST_ANSWERS_WAIT_MS = 300
"""The wait while answers are lost now and then: a lost report hides ends for as long."""

MIN_RENEWAL_INTERVAL_S = 0.1
"""Shortest time between two renewals of a worker, so that one report covers several ends."""

RETRY_RENEWAL_S = 0.2
"""Time after which a renewal without an answer is repeated."""

FIRST_RETRY_S = 0.05
"""The same after the first one to a worker that a late order may reach: it may have restarted, and
the call has to come before the order."""

MAX_UNCONFIRMED_ENDS = 100
"""Number of ends from which they are acknowledged in any case; a worker lists a limited number."""

UNSTORED_ENDS_RENEWAL_S = 0.5
"""Time between two renewals of a worker that has more ends than it lists, while the ends that it
listed are being stored: until they are acknowledged, each report lists them again."""

ABSENT_RENEWAL_S = 1.0
"""Time between two renewals of a worker that left the registry and may have crashed."""


def renewal_pause_s(order: RenewOrder, report: Report) -> float:
    """Returns the time from a report to the next renewal.

    Args:
        order: the renewal that the report answers.
        report: the report.
    """
    if not report.lists_all_ends:
        return UNSTORED_ENDS_RENEWAL_S
    return MIN_RENEWAL_INTERVAL_S if order.lease_until_ms is not None else 0.0


class RenewalPlanner:
    """Plans the renewals of a term.

    Args:
        state: state of the term.
        leases: length of the leases.
    """

    def __init__(self, *, state: SchedulerState, leases: LeasePolicy) -> None:
        self._state = state
        self._leases = leases
        self.answer_loss = AnswerLoss()
        self._low_headroom: set[str] = set()

    def update_headroom(self, load: Load) -> None:
        """Records whether tasks of a worker need reports more often, as they lack headroom."""
        if load.best_effort_tasks and load.lowest_headroom() < LOW_HEADROOM:
            self._low_headroom.add(load.record.id)
        else:
            self._low_headroom.discard(load.record.id)

    def plan(self, now_s: float) -> list[RenewOrder]:
        """Returns the renewals that are due."""
        has_late_starts = self._state.late_starts.may_reach_any
        return [
            self._renew_order(record, now_s)
            for record in self._state.workers.values()
            if (now_s >= record.next_renewal_s or record.may_list_next_ends)
            and (
                (record.may_renew() and record.needs_renewal())
                or (has_late_starts and self._must_precede_late_start(record))
            )
        ]

    def retry_s(self, record: WorkerRecord) -> float:
        """Returns the time after which a renewal is repeated that has got no answer."""
        if self._state.may_carry_out_late(record):
            return RETRY_RENEWAL_S if record.is_silent else FIRST_RETRY_S
        return RETRY_RENEWAL_S if record.listed or record.attempts else ABSENT_RENEWAL_S

    def _must_precede_late_start(self, record: WorkerRecord) -> bool:
        """Returns whether a call must reach a worker before a late order does.

        The first call fences the next incarnation, so it doesn't wait for the end of one to the
        last incarnation.
        """
        if not self._state.may_carry_out_late(record):
            return False
        return record.may_renew() or record.renewal_token < record.token

    def _renew_order(self, record: WorkerRecord, now_s: float) -> RenewOrder:
        """Returns the next renewal of a worker.

        A silent worker is asked for a report only. A new lease might take effect without an
        answer, and would delay the restart of its tasks on other workers. So is one that the stored
        roster may still restrict: a lease must not outlast the deadline stored with it. One that
        answers again is not asked to hold its report as its leases are renewed: if this call gets
        no answer either, the next one follows sooner, before they end.
        """
        record.renewals_in_flight += 1
        record.renewal_token = record.token
        waits = record.resolved and not record.is_silent and not record.has_uncertain_start()
        has_use = bool(record.attempts) or self._state.may_carry_out_late(record)
        until_ms = None
        if not record.is_silent and record.on_roster:
            until_ms = record.extend_lease_ms(now_s=now_s, lease_s=self._leases.length_s(now_s))
        waits = waits and not (record.is_back and until_ms is not None)
        return RenewOrder(
            worker=record.id,
            address=record.info.address,
            token=record.token,
            acknowledged=self._acknowledgement(record),
            lease_until_ms=until_ms,
            wait_ms=self._wait_ms(record, now_s) if waits and has_use else 0,
        )

    def _acknowledgement(self, record: WorkerRecord) -> int:
        """Returns the serial up to which a renewal acknowledges ends, 0 if there are no new ones.

        A later incarnation that carries it out forgets its own ends up to there unseen. So there is
        none while the worker may have restarted and carried out a start, unless so many have piled
        up that its reports have no space for further ends, or would soon have none. Without further
        ends, no report tells what became of the start.
        """
        unconfirmed = record.stored_serial - record.acknowledged_serial
        if unconfirmed <= 0:
            return 0
        may_have_restarted = record.is_silent or (
            record.lists_all_ends and record.has_uncertain_start()
        )
        if may_have_restarted and unconfirmed < MAX_UNCONFIRMED_ENDS:
            return 0
        return record.stored_serial

    def _wait_ms(self, record: WorkerRecord, now_s: float) -> int:
        if self.answer_loss.is_frequent(now_s):
            return LOST_ANSWERS_WAIT_MS
        return LOW_HEADROOM_WAIT_MS if record.id in self._low_headroom else RENEWAL_WAIT_MS
