"""Registers the steps of the scenarios; pytest takes plugins only from the top directory."""

pytest_plugins = [
    "tests.scenarios.cluster_steps",
    "tests.scenarios.fault_steps",
    "tests.scenarios.caller_steps",
    "tests.scenarios.verdict_steps",
    "tests.scenarios.work_steps",
    "tests.scenarios.zone_steps",
    "tests.scenarios.promise_steps",
    "tests.scenarios.config_steps",
]
