"""Adapter between the users' deployment platform and forwarding processes.

It only translates encodings and names; all decisions are made elsewhere. Balancers
(`egrethook serve`) don't use it: the platform that publishes their configuration
has another interface, see `egrethook.published`.
"""
