"""The upstream side: links, health, admission, warm-up and selection.

In a balancer process, each upstream has one owner: the balancer that keeps a link to
it (`links`) and admits requests and flows to it (`executor`). `choice` chooses the
owner to ask.

In a forwarding process, upstreams have no owner. A process may send openings to any of
them (`selection`, `cold_limit`, `flow_limit`) and knows their state only from the
registry (`roster`), from the callers' packets and from its peers (`health`).
"""
