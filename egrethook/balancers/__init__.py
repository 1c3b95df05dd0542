"""Communication with the other balancers: membership, gossip, relays, hand-over.

Two kinds of process use this package. `gossip`, `gossip_codec` and `gossip_members`
belong to the forwarding process (`egrethook.forwarding`); the other modules belong to
the balancer process (`egrethook.balancer`), whose membership comes from heartbeats.
"""
