"""The service registry: its published items, and clients that follow them.

Forwarding processes use it. Balancer processes read `egrethook.published` instead.
"""
