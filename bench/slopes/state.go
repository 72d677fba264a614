package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// keySum returns the hash of the key with index i.
func keySum(i int) [32]byte { return sha256.Sum256(fmt.Appendf(nil, "key-%d", i)) }

// keyHash returns keySum in hexadecimal, as the configuration has it.
func keyHash(i int) string {
	sum := keySum(i)
	return hex.EncodeToString(sum[:])
}

// document returns a configuration with a number of teams, each with one key, and a number of routes.
func document(teams, routes int) *config.Document {
	doc := &config.Document{}
	doc.SetDefaults()
	for i := range 11 {
		doc.Domains[fmt.Sprintf("domain-%d", i)] = config.Domain{Region: fmt.Sprintf("region-%d", i%5)}
	}
	for i := range max(routes/17, 1) {
		service := config.Service{Slots: 7, Connections: 400, FloorPercent: 60}
		doc.Services[fmt.Sprintf("service-%d", i)] = service
	}
	for i := range teams {
		team := config.Team{Rate: 10, Burst: 20, KeyHashes: []string{keyHash(i)}}
		doc.Teams[fmt.Sprintf("team-%d", i)] = team
	}
	for i := range routes {
		route := config.Route{
			Path: fmt.Sprintf("/route-%d", i), Service: fmt.Sprintf("service-%d", i%max(routes/17, 1)),
			Access: config.AccessOpen,
		}
		doc.Routes[fmt.Sprintf("route-%d", i)] = route
	}
	doc.SetDefaults()
	return doc
}

// fleetState returns the state of a fleet after the document was applied in one change. The operators' API accepts changes
// of this size only in parts.
func fleetState(doc *config.Document) *state.State {
	empty := &config.Document{}
	empty.SetDefaults()
	change := config.Diff(empty, doc)
	s := state.New()
	command := state.Command{ChangeID: "slopes", Operator: "slopes", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}}
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	result, err := state.DecodeResult(s.Apply(data))
	if err != nil || result.Err != nil {
		panic(fmt.Sprint(err, result.Err))
	}
	return s
}

// measureTeams measures the heap that a team takes in the fleet state, and the time to look up a key.
func measureTeams() []row {
	const lookups = 200_000
	var rows []row
	for _, size := range []int{5_000, 20_000, 80_000} {
		s, bytes := measureHeap(func() *state.State { return fleetState(document(size, 1)) })
		cost := meanTime(lookups, func(i int) { s.TeamByKey(keySum(i % size)) })
		rows = append(rows, row{item: "team", size: size, bytes: bytes, cost: cost, operation: "hash and look up a key"})
		runtime.KeepAlive(s)
	}
	return rows
}

// measureRoutes measures the heap that a route takes in the fleet state and in the route table, the time to match a path and
// the time to rebuild the table.
func measureRoutes() []row {
	const matches = 200_000
	var rows []row
	for _, size := range []int{3_500, 14_000, 56_000} {
		doc := document(1, size)
		_, docBytes := measureHeap(func() *state.State { return fleetState(doc) })
		table, bytes := measureHeap(func() *routing.Table { return routing.NewTable(doc) })
		cost := meanTime(matches, func(i int) { table.Match("example.org", fmt.Sprintf("/route-%d/x", i%size)) })
		rebuild := meanTime(3, func(int) { routing.NewTable(doc) })
		rows = append(rows,
			row{item: "route (state)", size: size, bytes: docBytes, operation: "-"},
			row{item: "route (table)", size: size, bytes: bytes, cost: cost, operation: "match"},
			row{item: "route (table)", size: size, bytes: bytes, cost: rebuild, operation: "rebuild after a change"})
		runtime.KeepAlive(table)
	}
	return rows
}

// measureChanges measures the time that one change takes at the control leader and at each process, and the size of its
// message, at several sizes of the state.
func measureChanges() []row {
	const count = 200
	var rows []row
	for _, size := range []int{5_000, 20_000, 80_000} {
		s := fleetState(document(size, 1))
		var encoded [][]byte
		for i := range count {
			change := config.Change{}
			change.Teams.Set = map[string]config.Team{fmt.Sprintf("team-%d", i): {Rate: 11, Burst: 20, KeyHashes: []string{keyHash(i)}}}
			command := state.Command{
				ChangeID: fmt.Sprintf("change-%d", i), Operator: "slopes", BaseVersion: uint64(i + 1),
				Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()},
			}
			data, err := command.Encode()
			if err != nil {
				panic(err)
			}
			encoded = append(encoded, data)
		}
		cost := meanTime(count, func(i int) { s.Apply(encoded[i]) })
		deltas, _ := s.Since(s.Version() - 1)
		message, err := json.Marshal(deltas)
		if err != nil {
			panic(err)
		}
		rows = append(rows, row{item: "change of a team", size: size, cost: cost, operation: "apply", wireBytes: len(message)})
	}
	return rows
}
