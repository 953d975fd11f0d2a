"""Events that reach the scheduler's actor out of order."""

import attrs
import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.scheduleractor import SchedulerActor
from fescuerudder.jobs.termevents import Batch, Configured, Listed


@attrs.define
class FakeScheduler:
    """Records the zones that it is given."""

    zones: list = attrs.Factory(list)
    is_superseded: bool = False

    def set_zones_out(self, zones):
        self.zones.append(zones)

    def plan(self):
        return []


@pytest.mark.parametrize(("versions", "kept"), [((3, 7), 7), ((7, 3), 7), ((3, 3), 3), ((0, 0), 0)])
def test_an_older_configuration_never_replaces_a_newer_one(versions, kept):
    """Guards against starts in a zone that was taken out of service.

    Two threads send the configuration, so an older view may arrive after a newer one.
    """
    scheduler = FakeScheduler()
    actor = SchedulerActor.start(
        scheduler=scheduler,
        clock=ManualClock(),
        send_orders=print,
        may_order=lambda: True,
        on_superseded=lambda: None,
    )
    for version in versions:
        view = ConfigView(zones_out=frozenset({f"z{version}"}), version=version)
        actor.tell(Configured(view=view))
    actor.stop()
    assert scheduler.zones[-1] == {f"z{kept}"}


@pytest.mark.parametrize("is_batch", [False, True])
def test_an_event_that_fails_loses_no_other_event(is_batch):
    """Guards against a leader that schedules nothing any more after an error in one event.

    The log call in the error handling raised, so the actor ended, and the leader went on without
    it. In a batch, the events after the one that failed were lost, answers to starts among them.
    """
    scheduler = FakeScheduler()
    actor = SchedulerActor.start(
        scheduler=scheduler,
        clock=ManualClock(),
        send_orders=print,
        may_order=lambda: True,
        on_superseded=lambda: None,
    )
    events = [
        Listed(workers=[]),
        Configured(view=ConfigView(zones_out=frozenset({"z"}), version=3)),
    ]
    for message in [Batch(events=events)] if is_batch else events:
        actor.tell(message)
    actor.stop()
    assert scheduler.zones == [{"z"}]
