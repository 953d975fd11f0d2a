"""Demo, replay and load experiments that run the product's processes on loopback."""
