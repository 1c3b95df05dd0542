// Gossip messages between forwarding processes;
// egrethook/balancers/gossip_codec.py describes their fields.
namespace py egrethook.wire.gossip

struct MemberInfo {
  1: string host,
  2: i32 port,
  3: string failure_domain,
  4: i64 incarnation,
  5: i64 beat,
  6: bool leaving,
}

struct Digest {
  1: MemberInfo sender,
  2: i64 revision,
  3: i32 age_ms,
  4: list<MemberInfo> members,
  5: bool asks,
  6: i64 era,
}

struct Item {
  1: i32 kind,
  2: string name,
  3: i64 revision,
  4: optional binary value,
}

struct Delta {
  1: i64 after,
  2: i64 revision,
  3: i32 age_ms,
  4: list<Item> items,
  5: bool replaces,
  6: i32 part,
  7: i32 parts,
  8: i64 era,
  9: i32 era_age_ms,
}

struct UpstreamReport {
  1: i64 token,
  2: bool answers,
  3: i32 silent_ms,
}

struct OutlierReport {
  1: i64 token,
  2: bool is_outlier,
}

struct SpeedEstimate {
  1: i64 token,
  2: i32 time_permille,
  3: i32 weight_permille,
}

struct SpeedReport {
  1: list<SpeedEstimate> estimates,
  2: bool asks,
}

struct ReachReport {
  1: MemberInfo sender,
  2: bool reaches_upstreams,
  3: i32 age_ms,
}

union GossipMessage {
  1: Digest digest,
  2: Delta delta,
  3: UpstreamReport report,
  5: OutlierReport outlier,
  6: SpeedReport speeds,
  7: ReachReport reach,
  // A compressed GossipMessage.
  4: binary packed,
}
