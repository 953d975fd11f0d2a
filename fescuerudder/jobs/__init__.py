"""Scheduling of jobs: steps of tasks that run under leases on the workers of a pool."""
