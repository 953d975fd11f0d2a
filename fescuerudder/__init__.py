"""Scheduler for colocated latency-critical services and batch tasks."""

__version__ = "0.1.0"
