"""Randomized fault soak of real forwarding processes."""
