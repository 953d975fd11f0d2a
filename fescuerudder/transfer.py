"""Transfers waiting tasks to the queues of racks that can run them."""

from fescuerudder.document import Size
from fescuerudder.rackchoice import RackRequirement
from fescuerudder.rackevents import task_event
from fescuerudder.rackstate import RackState
from fescuerudder.task import Task, transferred

TRANSFER_WAIT_S = 2.0
MAX_TRANSFERS_PER_CYCLE = 64


def transfer_queue(state: RackState) -> None:
    """Transfers the waiting tasks that this rack cannot place."""
    remaining = MAX_TRANSFERS_PER_CYCLE
    # Summaries change once a second: a class of tasks without a rack is not tried again in this
    # cycle.
    without_rack: set[tuple[Size, tuple[str, ...], RackRequirement]] = set()
    capacities = [w.status.capacity.size for w in state.fleet.workers.values() if w.status]
    for stored in state.rows.queued():
        if remaining == 0:
            return
        requirement = _requirement(state, stored.task, capacities)
        if requirement is None:
            continue
        equivalence_class = (stored.task.size, stored.task.zones, requirement)
        rack = (
            None
            if equivalence_class in without_rack
            else state.choose_other_rack(stored.task, required=requirement)
        )
        if rack is None:
            if requirement == "large_enough":
                _report_unschedulable(state, stored.task)
            without_rack.add(equivalence_class)
            continue
        remaining -= 1
        state.rows.write(stored=stored, new=transferred(stored.task, rack=rack, txn=state.new_id()))


def _report_unschedulable(state: RackState, task: Task) -> None:
    """Reports an event, once for a task, when no known worker is large enough for it."""
    if task.id not in state.unschedulable:
        state.unschedulable.add(task.id)
        state.observe(task_event("unschedulable", task))


def _requirement(state: RackState, task: Task, capacities: list[Size]) -> RackRequirement | None:
    """Returns what a rack must offer to receive the task, or None if the task stays.

    A task that could run on this rack is transferred only to a rack with room now; otherwise it
    could move back and forth between full racks.
    """
    if task.cancel_requested:
        return None
    if not state.is_zone_in_service():
        return "in_service"
    if state.waited_s(task) < TRANSFER_WAIT_S:
        return None
    is_allowed = not task.zones or state.zone in task.zones
    if capacities and not (is_allowed and any(task.size.fits_in(c) for c in capacities)):
        return "large_enough"
    return "room"
