"""Configuration of balancers, published by the platform: reader, models and store.

Forwarding processes don't use it; they read a service registry, see
`egrethook.discovery` and `egrethook.platform`.
"""
