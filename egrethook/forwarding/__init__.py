"""The forwarding process, a front end that passes packets on unread.

The other front end is `egrethook.balancer`.
"""
