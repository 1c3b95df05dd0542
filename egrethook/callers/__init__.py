"""Communication with callers, in two independent ways.

A forwarding process uses `flow_dispatch`: it reads only the headers of callers'
packets (`segments`) and routes each flow by a 32-bit token. A balancer process uses
`front`: it decodes the packets of the client library (`packets`, `client`) and routes
them by signed tokens (`tokens`).
"""
