// Messages between balancers; egrethook/balancers/peer_packets.py describes their
// fields.
namespace py egrethook.wire.balancers

struct Executor {
  1: string balancer,
  2: i64 incarnation,
}

struct Suspicion {
  1: string balancer,
  2: i64 incarnation,
}

struct Heartbeat {
  1: string balancer,
  2: i64 incarnation,
  3: i32 state,
  4: i64 revision,
  5: i64 sequence,
  6: list<Suspicion> suspicions,
  7: list<Executor> inherited,
}

struct Tried {
  1: string upstream,
  2: i32 backlog,
}

struct Relay {
  1: i64 relay_id,
  2: string sender,
  3: i64 revision,
  4: binary packet,
  5: string upstream,
  6: list<Tried> tried,
  7: i32 hops,
  8: bool queue,
  9: bool ack,
}

struct RelayAck {
  1: i64 relay_id,
}

struct WindowState {
  1: i64 serial,
  2: i64 highest,
  3: list<i64> seen,
  4: i32 life_ms,
}

struct HandOver {
  1: Executor executor,
  2: i64 transfer_id,
  3: i32 part,
  4: i32 parts,
  5: list<WindowState> windows,
  6: list<Executor> inherited,
  7: Executor heir,
}

struct HandOverAck {
  1: i64 transfer_id,
  2: i32 part,
  3: bool accepted,
}

union PeerMessage {
  1: Heartbeat heartbeat,
  2: Relay relay,
  3: RelayAck relay_ack,
  4: HandOver hand_over,
  5: HandOverAck hand_over_ack,
}
