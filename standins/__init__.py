"""Small stand-ins for the platforms: stores, membership list, workers and a TCP relay."""
