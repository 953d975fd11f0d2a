"""Accounts on the links between instances."""

import threading

import attrs
import pytest

from bench._jobsimulation import queue
from fescuerudder.jobs.accounts import Account, hash_key
from fescuerudder.jobs.linkmessages import ConfigChanged, ConfigNews
from tests.jobs.link_simulation import wait_until
from tests.jobs.test_configpatch import view

A, B, C = (Account(name=name, key_hashes=(hash_key(name),)) for name in "abc")


def with_accounts(version, *accounts):
    found = view(version, queue())
    return attrs.evolve(found, manifest=attrs.evolve(found.manifest, accounts=accounts))


def test_a_change_of_accounts_reaches_the_followers_as_a_patch(links):
    """Guards against keys that followers still take, or do not take yet."""
    links.config.view = with_accounts(1, A, B)
    links.leader.activate(links.source)
    watch = links.follow("f")._config
    wait_until(lambda: watch.find_account("a", is_public=False) == "a")
    links.config.view = with_accounts(2, attrs.evolve(B, weight=2.0), C)
    wait_until(lambda: watch.find_account("c", is_public=False) == "c")
    assert watch.find_account("a", is_public=False) is None
    wanted = set(links.config.view.manifest.accounts)
    wait_until(lambda: set(watch.view.manifest.accounts) == wanted)


@pytest.mark.parametrize("kind", [ConfigNews, ConfigChanged])
def test_a_leader_of_the_previous_version_does_not_remove_the_accounts(links, monkeypatch, kind):
    """Guards against calls without a key while a rolling restart has an old leader."""
    links.config.view = with_accounts(1, A)
    links.leader.activate(links.source)
    watch = links.follow("f")._config
    wait_until(lambda: watch.view.version == 1)
    sent = []

    def without_accounts(*, has_accounts, **fields):
        sent.append(kind(**fields))
        return sent[-1]

    monkeypatch.setattr(f"fescuerudder.jobs.leaderlink.{kind.__name__}", without_accounts)
    if kind is ConfigNews:
        monkeypatch.setattr("fescuerudder.jobs.leaderlink.make_patch", lambda *_: None)
    links.config.view = with_accounts(2)
    wait_until(lambda: sent)
    links.clock.wait_s(threading.Event(), 0.2)
    assert watch.find_account(None, is_public=False) is None


def test_a_new_follower_takes_no_manifest_from_a_leader_of_the_previous_version(links, monkeypatch):
    """Guards against an instance that begins without keys while the leader is an old one."""
    sent = []

    def without_accounts(*, has_accounts, **fields):
        sent.append(ConfigNews(**fields))
        return sent[-1]

    monkeypatch.setattr("fescuerudder.jobs.leaderlink.ConfigNews", without_accounts)
    links.config.view = with_accounts(1)
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: sent and link.is_connected and link.last_pulse_s)
    assert link._config.view.manifest is None
