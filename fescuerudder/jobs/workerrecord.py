"""What the leader knows about one worker: its clock, its lease and its live attempts."""

import math

import attrs

from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import MAX_ORDER_DELAY_S, Attempt, Phase
from fescuerudder.jobs.workerport import Report, WorkerInfo

CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may run slow, as specified by the platform."""

MAX_CAPACITY_AGE_S = 3.5
"""Age up to which a capacity is relied on at a worker that doesn't guard it.

Room that has shrunk still counts for 5.5 s. The age may be a second too low, as an entry may first
be read a second after it was written, and a start takes time to arrive.
"""

LAPSED_KEPT_S = 30.0
"""Time for which a worker may stay away and its attempts still be suspected on its return."""

AttemptKey = tuple[TaskId, int]
"""Task and number of an attempt."""


def longest_lease_s(max_lease_s: float) -> float:
    """Returns how long the longest lease lasts at most, on a clock that may run slow, in seconds.

    Args:
        max_lease_s: its length on the worker's clock.
    """
    return max_lease_s / (1 - CLOCK_DRIFT)


@attrs.define(kw_only=True)
class WorkerClock:
    """Bounds on the monotonic clock of a worker, derived from its latest reading.

    Args:
        reading_ms: the reading, in milliseconds.
        read_s: when it arrived, on this instance's clock; the worker's clock showed it then or
            earlier.
    """

    reading_ms: float
    read_s: float

    def update(self, *, reading_ms: float, now_s: float) -> None:
        """Updates the bounds with a reading; one that doesn't tighten them is ignored."""
        if reading_ms >= self.earliest_ms(now_s):
            self.reading_ms = reading_ms
            self.read_s = now_s

    def earliest_ms(self, now_s: float) -> float:
        """Returns the earliest time that the worker's clock can show now, in milliseconds."""
        return self.reading_ms + (now_s - self.read_s) * 1000 * (1 - CLOCK_DRIFT)

    def may_have_shown(self, clock_ms: float, *, since_s: float) -> bool:
        """Returns whether the clock may have shown `clock_ms` at `since_s` or later.

        A lower reading is of a later incarnation, whose clock has started anew.
        """
        elapsed_s = since_s - self.read_s
        slowest = 1 - CLOCK_DRIFT if elapsed_s > 0.0 else 1.0
        return clock_ms >= math.floor(self.reading_ms + elapsed_s * 1000 * slowest)

    def reached_s(self, clock_ms: float) -> float:
        """Returns the latest time at which the worker's clock reaches `clock_ms`.

        The time returned is on this instance's clock, in seconds.
        """
        return self.read_s + (clock_ms - self.reading_ms) / 1000 / (1 - CLOCK_DRIFT)


@attrs.define(eq=False, kw_only=True)
class WorkerRecord:
    """State of one worker as the leader knows it.

    Args:
        info: its latest registry entry.
        clock: bounds on its clock.
        token: fencing token of the next orders.
        first_token: lowest token of the orders to this incarnation, 0 if the leader knows of no
            earlier one. An incarnation that has seen it refuses all orders to earlier ones.
        is_fenced: a report has shown that it does, so none of them extends its leases any more.
            Only a fenced incarnation gets on the stored roster, and so gets tasks.
        fenced_incarnation_ms: start time of the latest incarnation that is fenced.
        former_ms: start times of the earlier incarnations that this leader knew.
        longest_lease_until_s: when the leases have ended that an order to an earlier incarnation
            may have extended, on this instance's clock; 0 if there are none.
        unfenced_leases_until_s: when the leases have ended of the runs that this incarnation listed
            before it was fenced, if it isn't yet, on this instance's clock.
        late_orders_until_s: until when an order with a deadline may still be carried out, also by a
            later incarnation, on this instance's clock.
        resolved: this leader knows what runs in this incarnation: it got a report, or all leases
            have expired.
        resolved_by_s: when all leases of earlier leaders, and late orders, have expired at the
            latest.
        may_run_unknown: attempts of earlier leaders that this leader has not learned of may run
            there, so a waiting task may be one of them.
        unknown_until_s: when these have ended at the latest.
        covered_starts_until_s: when the runs have ended that a start of an earlier leader without a
            record of its own may begin, on this instance's clock; 0 if there are none.
        listed: the registry has an entry for it.
        on_roster: this incarnation is on the stored roster, so a successor will know of it.
        unanswered_renewals: number of renewals without an answer since the last answer.
        is_restricted: the roster lists the only attempts that may run there; nothing is started
            there until the stored roster no longer says so.
        is_described: the registry describes this incarnation, so its labels and capacity are known.
        capacity_ms: the worker's clock when it stated its capacity, None if that is not known.
        gone: another worker answers at its address, so this incarnation has ended.
        attempts: live attempts there.
        orphans: attempts that run there but should not.
        orphan_stop_sent_s: when stops for the orphans were last sent.
        lease_until_ms: latest end of a lease that was sent, on the worker's clock.
        seen_serial: serial of the latest end that was processed.
        stored_serial: serial up to which all ends are stored; renewals acknowledge it.
        acknowledged_serial: highest serial that was acknowledged.
        lists_all_ends: the latest report listed all ends that were not acknowledged. Else it listed
            the first ones, and says nothing of an attempt that is not in it.
        listed_all_s: when the latest report arrived that did, None before.
        further_ends_logged: serial up to which it was logged that there are further ends.
        new_ends: first serial of each job among the ends whose progress is not being stored yet.
        held_ends: first serial of each isolated job; it and later ones are not acknowledged.
        silent_since_s: when the first of the latest unanswered renewals was sent, None if the
            last renewal was answered.
        is_back: it answers again after renewals without an answer, and its leases have not been
            renewed since.
        lost_contact_s: when the first of the latest unanswered renewals ended without an answer,
            None if the last renewal was answered.
        lapsed: attempts whose leases ended while the worker was silent; whether it had crashed is
            known once it answers again or another worker answers at its address.
        lapsed_s: when the latest of them was added.
        last_start_s: when a start was last ordered there.
        probation_until_s: time before which nothing is started there, beside a task that is
            suspected to crash its workers.
        report_clock_ms: the worker's clock in the latest report.
        report_s: when the latest report arrived.
        first_report_s: when the first report to this leader arrived, None before.
        renewals_in_flight: number of renewals that were sent and have not ended.
        renewal_token: fencing token of the latest renewal.
        next_renewal_s: when the next renewal is due.
        no_starts_until_s: time before which nothing is started there, because it refused a start or
            could not be reached.
    """

    info: WorkerInfo
    clock: WorkerClock
    token: int
    first_token: int = 0
    is_fenced: bool = True
    fenced_incarnation_ms: int = attrs.field(
        default=attrs.Factory(lambda self: self.info.incarnation_ms, takes_self=True)
    )
    former_ms: frozenset[int] = frozenset()
    longest_lease_until_s: float = 0.0
    unfenced_leases_until_s: float = 0.0
    late_orders_until_s: float = 0.0
    resolved: bool = False
    resolved_by_s: float = 0.0
    may_run_unknown: bool = False
    unknown_until_s: float = 0.0
    covered_starts_until_s: float = 0.0
    listed: bool = True
    on_roster: bool = False
    unanswered_renewals: int = 0
    is_restricted: bool = False
    is_described: bool = True
    capacity_ms: float | None = None
    gone: bool = False
    attempts: dict[AttemptKey, Attempt] = attrs.Factory(dict)
    orphans: set[AttemptKey] = attrs.Factory(set)
    orphan_stop_sent_s: float = 0.0
    lease_until_ms: float = 0.0
    seen_serial: int = 0
    stored_serial: int = 0
    acknowledged_serial: int = 0
    lists_all_ends: bool = True
    listed_all_s: float | None = None
    further_ends_logged: int = 0
    new_ends: dict[str, int] = attrs.Factory(dict)
    held_ends: dict[str, int] = attrs.Factory(dict)
    silent_since_s: float | None = None
    is_back: bool = False
    lost_contact_s: float | None = None
    lapsed: list[Attempt] = attrs.Factory(list)
    lapsed_s: float = -math.inf
    last_start_s: float = -math.inf
    probation_until_s: float = 0.0
    report_clock_ms: float = -1.0
    report_s: float | None = None
    first_report_s: float | None = None
    renewals_in_flight: int = 0
    renewal_token: int = 0
    next_renewal_s: float = 0.0
    no_starts_until_s: float = 0.0

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.info.id

    @property
    def is_silent(self) -> bool:
        """Whether the latest renewal got no answer."""
        return self.silent_since_s is not None

    @property
    def awaits_further_ends(self) -> bool:
        """Whether the worker answers, and has ends for which its latest report had no space."""
        return not self.is_silent and not self.lists_all_ends

    @property
    def may_list_next_ends(self) -> bool:
        """Whether the next report lists such ends, as the ones before them can be acknowledged."""
        return self.awaits_further_ends and self.stored_serial > self.acknowledged_serial

    def has_begun(self, incarnation_ms: int) -> bool:
        """Returns whether a registry entry may be taken for the begin of a later incarnation.

        An entry may be outdated. Once the time of day was set back, the start times don't show
        which entries are, so one is used only while nothing depends on it; the next report tells.
        """
        present_ms = self.info.incarnation_ms
        if incarnation_ms in self.former_ms or not incarnation_ms:
            return False
        was_set_back = max(self.former_ms, default=0) > present_ms
        return self.is_forgettable() or (incarnation_ms > present_ms and not was_set_back)

    def update_info(self, info: WorkerInfo) -> None:
        """Records what the worker said of itself in the registry."""
        self.info, self.is_described = info, True
        self.capacity_ms = info.clock_ms
        self.listed = True

    def knows_capacity(self, now_s: float) -> bool:
        """Returns whether the capacity is recent enough for a worker that doesn't guard it."""
        if self.capacity_ms is None:
            return False
        return self.clock.earliest_ms(now_s) - self.capacity_ms <= MAX_CAPACITY_AGE_S * 1000

    def update_clock(self, reading_ms: float | None, *, token: int, now_s: float) -> None:
        """Updates the clock from an answer, unless it may be one of an earlier incarnation.

        Args:
            reading_ms: the worker's clock in the answer, None if the answer lacks it.
            token: fencing token of the order that it answers.
            now_s: when the answer arrived.
        """
        if reading_ms is not None and token >= self.first_token:
            self.clock.update(reading_ms=reading_ms, now_s=now_s)

    def extend_lease_ms(self, *, now_s: float, lease_s: float) -> int:
        """Records a lease that starts now; returns its end on the worker's clock."""
        until_ms = int(self.clock.earliest_ms(now_s) + lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.late_orders_until_s = now_s + MAX_ORDER_DELAY_S
        return until_ms

    def fence(self, *, clock_ms: float, max_lease_s: float) -> None:
        """Records that the worker refuses the orders to earlier incarnations from now on.

        One of them may have been carried out before. Its deadline is on another clock, so it counts
        as the longest lease. None is carried out later, so no lease there ends after that.

        Args:
            clock_ms: the worker's clock in the report that shows it.
            max_lease_s: longest lease that a worker grants, in seconds.
        """
        self.is_fenced = True
        self.fenced_incarnation_ms = self.info.incarnation_ms
        self.lease_until_ms = max(self.lease_until_ms, clock_ms + max_lease_s * 1000)
        self.longest_lease_until_s = self.clock.reached_s(self.lease_until_ms)
        self.resolved_by_s = min(self.resolved_by_s, self.longest_lease_until_s)

    def expect_late_leases(self, *, now_s: float, max_lease_s: float) -> None:
        """Records that orders to earlier incarnations may go on extending the leases there."""
        self.unfenced_leases_until_s = now_s + MAX_ORDER_DELAY_S + longest_lease_s(max_lease_s)

    def expect_longest_lease(self, *, now_s: float, max_lease_s: float) -> None:
        """Records that a later incarnation may have begun a longest lease up to now."""
        self.longest_lease_until_s = now_s + longest_lease_s(max_lease_s)
        self.resolved_by_s = max(self.resolved_by_s, self.longest_lease_until_s)

    def lapsed_by_s(self) -> float:
        """Returns when all leases there have expired if no more renewals arrive."""
        until_s = max(self.resolved_by_s, self.clock.reached_s(self.lease_until_ms))
        return until_s if self.is_fenced else max(until_s, self.unfenced_leases_until_s)

    def may_list_further_ends(self, now_s: float) -> bool:
        """Returns whether there may be ends that the latest report had no space for.

        Those of a worker whose leases have ended since then no longer count.
        """
        return not self.lists_all_ends and now_s < self.lapsed_by_s()

    def unknown_ended_by_s(self) -> float:
        """Returns when the unknown attempts of earlier leaders have ended at the latest.

        A renewal of this leader may have reached the worker although it got no answer.
        """
        return max(self.unknown_until_s, self.clock.reached_s(self.lease_until_ms))

    def may_run_covered(self, now_s: float) -> bool:
        """Returns whether a start of an earlier leader that has no record of its own may run there.

        It may have got no answer, and so be carried out after the leases of that leader.
        """
        return self.may_run_unknown or now_s < self.covered_starts_until_s

    def end_unknown(self) -> None:
        """Records that a report, or another worker at the address, has told of all that runs."""
        self.may_run_unknown = False
        self.covered_starts_until_s = 0.0

    def may_renew(self) -> bool:
        """Returns whether a renewal may be sent now, as far as those under way are concerned.

        One that waits at the worker does not show whether a start without an answer runs: the
        report must answer to a higher token than that of the start. Neither does one that was sent
        to the last incarnation fence the present one.
        """
        return self.renewals_in_flight == 0 or (
            self.renewal_token < self.token and (not self.is_fenced or self.has_uncertain_start())
        )

    def needs_renewal(self) -> bool:
        """Returns whether something depends on the next renewal."""
        return (
            bool(self.attempts or self.orphans)
            or (self.is_silent and self.listed and not self.gone)
            or self.stored_serial > self.acknowledged_serial
            or not self.resolved
            or (not self.is_fenced and not self.gone)
            or (bool(self.lapsed) and not self.gone)
        )

    def end_renewal(self) -> None:
        """Records the end of a renewal, which may have been sent for an earlier record."""
        self.renewals_in_flight = max(0, self.renewals_in_flight - 1)

    def has_uncertain_start(self) -> bool:
        """Returns whether the outcome of any start is unknown."""
        return any(a.phase is Phase.UNCERTAIN for a in self.attempts.values())

    def is_forgettable(self) -> bool:
        """Returns whether nothing runs there and nothing is to be learned from its return."""
        return not (self.attempts or self.orphans or self.lapsed) and self.resolved

    def add_lapsed(self, attempt: Attempt, *, now_s: float) -> None:
        """Adds an attempt whose lease ended while the worker was silent."""
        self.lapsed.append(attempt)
        self.lapsed_s = now_s
        attempt.task.lapsed_count += 1

    def drop_old_lapsed(self, now_s: float) -> None:
        """Forgets lapsed attempts once the worker has been away for LAPSED_KEPT_S.

        Of a worker that this leader never reached, only an earlier one may know when contact was
        lost, so the time counts from the end of the leases.
        """
        since_s = self.lost_contact_s if self.lost_contact_s is not None else self.lapsed_s
        if self.lapsed and now_s - since_s >= LAPSED_KEPT_S:
            self.take_lapsed()

    def take_lapsed(self) -> list[Attempt]:
        """Returns the attempts whose leases ended while the worker was silent, and forgets them."""
        lapsed, self.lapsed = self.lapsed, []
        for attempt in lapsed:
            attempt.task.lapsed_count -= 1
        return lapsed

    def update_from_report(self, report: Report, *, now_s: float) -> bool:
        """Updates clock and contact from a report; returns whether it is the newest so far."""
        if self.first_report_s is None:
            self.first_report_s = now_s
        self.is_back = self.is_back or self.is_silent
        self.silent_since_s = self.lost_contact_s = None
        self.unanswered_renewals = 0
        self.clock.update(reading_ms=report.clock_ms, now_s=now_s)
        if report.clock_ms < self.report_clock_ms:
            return False
        self.report_clock_ms = report.clock_ms
        self.report_s = now_s
        self.lists_all_ends = report.lists_all_ends
        if report.lists_all_ends:
            self.listed_all_s = now_s
        return True

    def begin_incarnation(self, info: WorkerInfo, *, now_s: float) -> list[Attempt]:
        """Resets the record for a new incarnation; returns the attempts of the previous one."""
        lost = list(self.attempts.values())
        self.former_ms = (self.former_ms | {self.info.incarnation_ms}) - {info.incarnation_ms}
        self.info = info
        self.clock = WorkerClock(reading_ms=info.clock_ms, read_s=now_s)
        self.token += 1
        self.first_token, self.is_fenced = self.token, False
        self.unfenced_leases_until_s = 0.0
        self.next_renewal_s = 0.0
        self.attempts.clear()
        self.orphans = set()
        self.lease_until_ms = 0.0
        self.seen_serial = self.stored_serial = self.acknowledged_serial = 0
        self.lists_all_ends, self.listed_all_s = True, None
        self.further_ends_logged = 0
        self.new_ends.clear()
        self.held_ends.clear()
        self.report_clock_ms = -1.0
        self.report_s = None
        self.silent_since_s = self.lost_contact_s = None
        self.unanswered_renewals = 0
        self.resolved = False
        self.on_roster = self.is_restricted = False
        self.is_described, self.capacity_ms = False, None
        self.gone = self.is_back = False
        return lost
