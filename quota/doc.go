// Package quota enforces each team's rate and burst over the whole fleet.
package quota
