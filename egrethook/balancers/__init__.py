"""Communication with the other balancers: membership, gossip, relays, hand-over.

Two kinds of process use this package. `gossip`, `gossip_codec`, `gossip_members`,
`domain_agreement` and `speed_exchange` belong to the forwarding process
(`egrethook.forwarding`); the other modules belong to the balancer process
(`egrethook.balancer`), whose membership comes from heartbeats.
"""
