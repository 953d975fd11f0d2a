"""Stand-ins of the platform that the scripts of the second review share."""
