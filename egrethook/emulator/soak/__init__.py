"""A randomized soak of real forwarding processes under faults from outside."""
