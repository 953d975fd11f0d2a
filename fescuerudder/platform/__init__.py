"""Adapter to the users' prepared platform: names, formats and calls. It decides nothing."""
