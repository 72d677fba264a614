// Package quota enforces each team's rate and burst over the whole fleet by token grants that expire.
//
// The Owner of a shard of teams keeps a token bucket for each team. Every process has a Holder that requests tokens from
// owners and spends only what it was granted. Both are state machines without I/O: the caller passes the time on its own
// monotonic clock, which may drift by Config.Drift, and delivers the messages, which may be lost, duplicated, late or
// reordered. Neither is safe for concurrent use; the caller locks. An Owner and a Holder may be in one process.
//
// Invariant: for every team and every window w, admitted <= rate*w + burst. It follows from these rules:
//
//   - level + outstanding <= burst at the owner, where outstanding is at least what holders can still spend.
//   - A holder has one request in flight for each team and ignores replies to any other.
//   - A request states how many unspent tokens the holder has. The owner then sets the outstanding tokens of the holder to
//     those of them that it confirms plus those that it grants.
//   - The lifetime of a grant counts at the holder from the time at which it first sent the request, and at the owner from
//     the time of the grant, with a margin for drift.
//   - A new owner grants nothing for one such lifetime, because tokens of the former owner may still be unspent.
package quota
