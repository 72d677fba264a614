// Package quota enforces each team's rate and burst over the whole fleet by token grants with an expiry.
//
// The Owner of a shard of teams keeps a token bucket for each team. Every process has a Holder that asks owners for
// tokens and spends only what it holds. Both are pure step machines: the caller passes the time on its own monotonic
// clock, which may drift by Config.Drift, and carries the messages, which may be lost, duplicated, late or reordered.
// Neither is safe for concurrent use; the caller locks. An Owner and a Holder may be in one process.
//
// Invariant: for every team and every window w, admitted <= rate*w + burst. It follows from these rules:
//
//   - level + outstanding <= burst at the owner, where outstanding is at least what holders can still spend.
//   - A holder has one request in flight for each team and ignores replies to any other.
//   - A request states what the holder still holds. The owner replaces the holder's outstanding tokens with what it
//     confirms of that and what it grants.
//   - The holder counts a grant's lifetime from when it first asked, the owner from when it granted, with a margin for
//     drift.
//   - A new owner grants nothing for one such lifetime, because tokens of the former owner may still be unspent.
package quota
