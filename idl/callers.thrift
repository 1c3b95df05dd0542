// Packets between callers, balancers and upstreams; egrethook/callers/packets.py
// describes their fields.
namespace py egrethook.wire.callers

// The body of a token. On the wire, a key id and a MAC precede it.
struct TokenBody {
  1: i64 serial,
  2: string service_name,
  3: string upstream,
  4: string host,
  5: i32 port,
  6: i64 incarnation,
  7: string executor,
  8: i64 executor_incarnation,
  9: i64 revision,
  10: string caller_host,
  11: i32 caller_port,
}

struct Open {
  1: string service_name,
  2: i64 caller_id,
  3: i64 number,
  4: string caller_host,
  5: i32 caller_port,
  6: i32 copy,
  7: string trace,
}

struct Opened {
  1: i64 number,
  2: binary token,
}

struct Data {
  1: binary token,
  2: i64 number,
  3: i64 sequence,
  4: binary payload,
}

// The fields of Data and Close that an entry decodes before it forwards the packet.
struct FlowHead {
  1: binary token,
  2: i64 number,
}

// Has the field ids of CallerMessage, of which it decodes only Data and Close.
union FlowPacket {
  3: FlowHead data,
  5: FlowHead close,
}

// A packet of a flow that its upstream sends directly to the caller.
struct Reply {
  1: i64 number,
  2: i64 sequence,
  3: binary payload,
  4: i64 boot,
}

struct Close {
  1: binary token,
  2: i64 number,
}

struct Reset {
  1: i64 number,
  2: string code,
}

struct Grant {
  1: string service_name,
  2: i64 caller_id,
  3: i64 number,
  4: string caller_host,
  5: i32 caller_port,
  6: i32 copy,
  7: string trace,
}

struct Granted {
  1: i64 number,
  2: binary token,
  3: i32 life_ms,
}

struct Run {
  1: string service_name,
  2: i64 caller_id,
  3: i64 number,
  4: i32 attempt,
  5: i64 sequence,
  6: binary token,
  7: bool idempotent,
  8: i32 deadline_ms,
  9: binary payload,
  10: string caller_host,
  11: i32 caller_port,
  12: i32 copy,
  13: string trace,
}

struct Accepted {
  1: i64 number,
  2: i32 attempt,
  3: binary token,
  4: i64 answer_id,
}

struct Chunk {
  1: i64 number,
  2: i32 attempt,
  3: i32 index,
  4: i32 count,
  5: binary payload,
  6: i64 answer_id,
}

struct Fetch {
  1: binary token,
  2: i64 caller_id,
  3: i64 number,
  4: i32 attempt,
  5: list<i32> missing,
  6: i64 answer_id,
}

struct Done {
  1: binary token,
  2: i64 caller_id,
  3: i64 number,
  4: i32 attempt,
}

struct Cancel {
  1: binary token,
  2: i64 caller_id,
  3: i64 number,
  4: i32 attempt,
}

struct Refused {
  1: i64 number,
  2: i32 attempt,
  3: i32 verdict,
  4: string code,
  5: i32 retry_after_ms,
}

union CallerMessage {
  1: Open open,
  2: Opened opened,
  3: Data data,
  4: Reply reply,
  5: Close close,
  6: Reset reset,
  7: Grant grant,
  8: Granted granted,
  9: Run run,
  10: Accepted accepted,
  11: Chunk chunk,
  12: Fetch fetch,
  13: Done done,
  14: Cancel cancel,
  15: Refused refused,
}
