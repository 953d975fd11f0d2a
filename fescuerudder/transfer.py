"""Moves waiting tasks to racks that can run them."""

from fescuerudder.document import Size
from fescuerudder.rackchoice import RackRequirement
from fescuerudder.rackevents import task_event
from fescuerudder.rackstate import RackState
from fescuerudder.task import Task, rehomed

REHOME_S = 2.0
MOVES_PER_CYCLE = 64


def rehome_queue(state: RackState) -> None:
    """Moves tasks that this rack cannot place."""
    left = MOVES_PER_CYCLE
    # Summaries change once a second, so what found no rack finds none later in this cycle.
    homeless: set[tuple[Size, tuple[str, ...], RackRequirement]] = set()
    capacities = [w.status.capacity.size for w in state.fleet.states.values() if w.status]
    for held in state.rows.queued():
        if left == 0:
            return
        need = _need(state, held.task, capacities)
        if need is None:
            continue
        shape = (held.task.size, held.task.zones, need)
        rack = None if shape in homeless else state.other_rack(held.task, needs=need)
        if rack is None:
            if need == "large_enough":
                _report_unschedulable(state, held.task)
            homeless.add(shape)
            continue
        left -= 1
        state.rows.write(held=held, new=rehomed(held.task, rack=rack, txn=state.new_id()))


def _report_unschedulable(state: RackState, task: Task) -> None:
    """Reports once that no known worker is large enough."""
    if task.id not in state.unschedulable:
        state.unschedulable.add(task.id)
        state.observe(task_event("unschedulable", task))


def _need(state: RackState, task: Task, capacities: list[Size]) -> RackRequirement | None:
    """Returns what another rack must offer to get the task, or None to keep it here.

    A task that can run here moves only to a rack with room now, so that it can't move back
    and forth between full racks.
    """
    if task.cancel_requested:
        return None
    if not state.zone_is_in():
        return "in_service"
    if state.waited_s(task) < REHOME_S:
        return None
    is_allowed = not task.zones or state.zone in task.zones
    if capacities and not (is_allowed and any(task.size.fits_in(c) for c in capacities)):
        return "large_enough"
    return "room"
