package main

import (
	"fmt"
	"runtime"
	"time"

	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/quota"
)

// measureGrants measures the heap that an active team takes at a quota holder and at its owner, and the time to take a
// token.
func measureGrants() []row {
	const takes = 200_000
	var rows []row
	for _, size := range []int{500, 5_000, 50_000} {
		now := time.Duration(0)
		owner, ownerBytes := measureHeap(func() *quota.Owner { return quota.NewOwner(quota.Config{Start: -time.Hour}) })
		holder, holderBytes := measureHeap(func() *quota.Holder {
			h := quota.NewHolder(quota.Config{Process: "vm-1", Incarnation: 1})
			for i := range size {
				h.Take(now, fmt.Sprintf("team-%d", i))
			}
			return h
		})
		requests := holder.Poll(now)
		_, granted := measureHeap(func() int {
			for _, r := range requests {
				owner.SetTeam(r.Team, quota.Limit{Rate: 1e6, Burst: 1e6})
				holder.Receive(now, owner.Request(now, r))
			}
			return 0
		})
		ownerBytes += granted
		cost := meanTime(takes, func(i int) { holder.Take(now, "team-0") })
		rows = append(rows,
			row{item: "active team (holder)", size: size, bytes: holderBytes, cost: cost, operation: "take a token"},
			row{item: "active team (owner)", size: size, bytes: ownerBytes, operation: "-"})
		runtime.KeepAlive(owner)
		runtime.KeepAlive(holder)
	}
	return rows
}

// measureRecords measures the heap of an at-most-once record with a small response, and the time to apply its two commands.
func measureRecords() []row {
	var rows []row
	answer := idempotency.StoredResponse{Status: 200, Body: make([]byte, 200)}
	for _, size := range []int{5_000, 20_000, 80_000} {
		var cost time.Duration
		var wireBytes int
		store, bytes := measureHeap(func() *idempotency.Store {
			s := idempotency.NewStore()
			index := uint64(1)
			apply := func(c idempotency.Command) {
				data, err := c.Encode()
				if err != nil {
					panic(err)
				}
				wireBytes = len(data)
				s.Apply(index, data)
				index++
			}
			cost = meanTime(size, func(i int) {
				key := idempotency.Key{Team: "team", Route: "route", Key: fmt.Sprintf("key-%d", i)}
				id := idempotency.ClaimID(fmt.Sprintf("%032d", i))
				apply(idempotency.Command{Claim: &idempotency.Claim{Key: key, ClaimID: id, Digest: keyHash(i)}})
				apply(idempotency.Command{Complete: &idempotency.Complete{Key: key, ClaimID: id, StoredResponse: answer}})
			})
			return s
		})
		rows = append(rows, row{item: "record", size: size, bytes: bytes, cost: cost, operation: "claim and complete", wireBytes: wireBytes})
		runtime.KeepAlive(store)
	}
	return rows
}
