"""Adapter to the users' job platform: translates names, formats and calls, decides nothing."""
