"""Communication with the other balancers: membership, gossip, relays, hand-over."""
