"""The callers: packet front end, flow dispatch, client library and tokens."""
