// Messages between the owner of an upstream and the upstream;
// egrethook/upstreams/frames.py describes their fields.
namespace py egrethook.wire.upstreams

struct Hello {
  1: string balancer,
  2: i64 incarnation,
  3: string service_name,
}

struct Welcome {
  1: string upstream,
  2: string service_name,
  3: i64 incarnation,
  4: i64 boot,
  5: i64 answered,
  6: i32 running,
  7: i32 flows,
}

struct Execute {
  1: i64 run_id,
  2: i32 deadline_ms,
  3: binary payload,
  4: i64 caller_id,
  5: i64 number,
  6: i32 attempt,
  7: string trace,
}

struct CancelRun {
  1: i64 run_id,
}

struct Answer {
  1: i64 run_id,
  2: i32 index,
  3: i32 count,
  4: binary payload,
}

struct Shed {
  1: i64 run_id,
  2: string reason,
}

struct Cancelled {
  1: i64 run_id,
  2: bool started,
}

struct Load {
  1: i64 boot,
  2: i32 running,
  3: i32 flows,
  4: i64 answered,
  5: bool draining,
}

struct Ping {
  1: i64 sequence,
}

struct Pong {
  1: i64 sequence,
}

union UpstreamMessage {
  1: Hello hello,
  2: Welcome welcome,
  3: Execute execute,
  4: CancelRun cancel_run,
  5: Answer answer,
  6: Shed shed,
  7: Cancelled cancelled,
  8: Load load,
  9: Ping ping,
  10: Pong pong,
}
