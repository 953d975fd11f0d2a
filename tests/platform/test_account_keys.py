"""Keys of client accounts: on the wire, at every instance, in stored jobs and in the log."""

import attrs
import pytest
import structlog
from result import Ok

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.accounts import hash_key
from fescuerudder.jobs.configwatch import ConfigWatch
from fescuerudder.jobs.progress import dump_job, load_job
from fescuerudder.platform.sources import PlatformConfigSource
from standins.rows import MemoryRowStore
from tests.platform.test_callers import ID, JOB, FakeIntake, call
from tests.platform.test_sources import manifest, put

KEY = "s3cret-of-alpha"
TENANTS = [
    {"name": "alpha", "apiKeys": [KEY, "k2"], "weight": 2, "cap": {"cpu": 1500, "memMb": 64}},
    {"name": "beta", "apiKeys": ["k3"], "priority": 1, "allowedRegions": ["x"]},
]


def with_tenants(revision, tenants):
    return {**manifest(revision), "tenants": tenants}


class Deployment:
    """A store and the configuration of one instance."""

    def __init__(self, tenants):
        self.store, self.clock = MemoryRowStore(), ManualClock(start_s=10.0)
        put(self.store, "config", with_tenants(4, tenants))
        self.restart()

    def restart(self):
        self.watch = ConfigWatch(
            source=PlatformConfigSource(store=self.store),
            clock=self.clock,
            on_change=lambda _: None,
        )

    def step(self):
        try:
            self.watch.step()
        except StoreUnavailableError:
            self.clock.advance(seconds=0.2)

    def account(self, key):
        return self.watch.find_account(key, is_public=False)


def test_accounts_are_decoded_with_their_units_and_without_their_keys():
    """Guards against thousandths of a core read as cores, and against keys kept in memory."""
    config = PlatformConfigSource(store=Deployment(TENANTS).store).read()
    alpha, beta = config.manifest.accounts
    assert (alpha.name, alpha.weight, alpha.cap) == (
        "alpha",
        2.0,
        Size(processors=1.5, memory_mb=64),
    )
    assert (beta.weight, beta.cap, beta.key_hashes) == (1.0, Size(), (hash_key("k3"),))
    assert KEY not in repr(config)


@pytest.mark.parametrize("key", [None, "wrong", KEY.upper(), "", hash_key(KEY), KEY + "\u20ac"])
@pytest.mark.parametrize(
    ("method", "path"), [("POST", ID), ("GET", ID), ("DELETE", ID), ("GET", ""), ("GET", "odd")]
)
def test_a_call_without_a_known_key_is_refused_before_anything_else(method, path, key):
    """Guards against work or answers for callers without an account, and keys in the log."""
    deployment = Deployment(TENANTS)
    deployment.step()
    intake = FakeIntake(Ok(True))
    fields = {} if key is None else {"HTTP_AUTHORIZATION": f"Bearer {key}"}
    with structlog.testing.capture_logs() as lines:
        status, body, headers = call(
            intake,
            method,
            f"/q/{path}",
            body=JOB,
            headers=fields,
            find_account=deployment.watch.find_account,
        )
    assert status == 401 and body["error"] and headers["WWW-Authenticate"] == "Bearer"
    assert not intake.jobs
    assert not key or len(key) < 5 or key not in str(lines)


@pytest.mark.parametrize(
    ("key", "is_public", "account"),
    [(KEY, False, "alpha"), ("k3", False, "beta"), ("k3", True, "beta"), ("bad", True, "")],
)
@pytest.mark.parametrize("scheme", ["Bearer", "bearer"])
def test_a_job_names_the_account_of_its_key(key, is_public, account, scheme):
    """Guards against jobs counted for another account, and public routes that need a key."""
    deployment, intake = Deployment(TENANTS), FakeIntake()
    deployment.step()
    found = call(
        intake,
        "POST",
        f"/q/{ID}",
        body=JOB,
        headers={"HTTP_AUTHORIZATION": f"{scheme} {key}"},
        find_account=deployment.watch.find_account,
        is_public=is_public,
    )
    assert found[0] == 200
    job = intake.jobs[0][0]
    assert job.account == account
    assert load_job(dump_job(job)) == job


def test_a_row_of_the_previous_version_has_no_account():
    """Guards against jobs that can't be read after an update, either way."""
    intake = FakeIntake()
    call(intake, "POST", f"/q/{ID}", body=JOB)
    data = dump_job(intake.jobs[0][0])
    assert b"account" not in data.replace(b"accepted_queue", b"") and b"is_public" not in data
    assert load_job(data).account == ""


@pytest.mark.parametrize("tenants", [[], None])
def test_without_accounts_no_key_is_needed(tenants):
    """Guards against deployments without accounts that refuse all callers."""
    deployment = Deployment(tenants)
    deployment.step()
    assert deployment.account(None) == deployment.account("any") == ""


def changed(**fields):
    return [{**TENANTS[0], **fields}, TENANTS[1]]


@pytest.mark.parametrize(
    "tenants",
    [
        changed(cap={"cpu": -1}),
        changed(cap={"gpu": 0.5}),
        changed(cap=0),
        changed(weight=-1),
        changed(weight="2"),
        changed(apiKeys=["k3"]),
        changed(apiKeys="k9"),
        changed(name=""),
        changed(name="beta"),
        [{"apiKeys": ["k9"]}],
        {},
        "",
        0,
    ],
)
def test_a_malformed_manifest_is_rejected_as_a_whole(tenants):
    """Guards against half a manifest in force, or none, and against keys in the reason."""
    deployment = Deployment(TENANTS)
    deployment.step()
    put(deployment.store, "config", with_tenants(5, tenants))
    with structlog.testing.capture_logs() as lines:
        deployment.step()
    assert deployment.watch.view.manifest.revision == 4
    assert deployment.account(KEY) == "alpha" and deployment.account("k9") is None
    (line,) = [line for line in lines if line["event"] == "row not readable"]
    assert line["reason"] and "k3" not in line["reason"]


def test_a_revoked_key_stays_revoked():
    """Guards against a key that comes back by an outage of the store, or an older manifest."""
    deployment = Deployment(TENANTS)
    deployment.step()
    older = deployment.watch.view
    put(deployment.store, "config", with_tenants(5, changed(apiKeys=["new"])))
    deployment.store.faults.down = True
    deployment.step()
    assert deployment.account(KEY) == "alpha"
    deployment.store.faults.down = False
    deployment.step()
    deployment.store.faults.down = True
    for _ in range(3):
        deployment.watch.receive(older)
        deployment.watch.receive(attrs.evolve(older, version=99))
        deployment.step()
        assert deployment.account(KEY) is None and deployment.account("new") == "alpha"


def test_an_instance_that_starts_beside_a_malformed_manifest_gets_the_last_good_one():
    """Guards against an instance that refuses all callers until operators write a good one."""
    deployment = Deployment(TENANTS)
    deployment.step()
    put(deployment.store, "config", with_tenants(5, [{}]))
    deployment.step()
    known = deployment.watch.view
    deployment.restart()
    deployment.step()
    assert deployment.watch.view.manifest is None
    deployment.watch.receive(known)
    assert deployment.account(KEY) == "alpha"
