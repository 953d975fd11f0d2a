"""Small stand-ins for the platform: table and object store, instance list, worker, TCP relay."""
