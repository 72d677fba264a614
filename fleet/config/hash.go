package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Hash returns the lower-case hex SHA-256 sum of the document as canonical JSON: fields in the order of their types,
// map keys sorted, no white space.
func (d *Document) Hash() string { return hashJSON(d) }

// Hash returns the lower-case hex SHA-256 sum of the change as canonical JSON.
func (c Change) Hash() string { return hashJSON(c) }

func hashJSON(v any) string {
	sum := sha256.New()
	// Encoding fails only for values that Validate rejects, such as an infinite rate.
	if err := json.NewEncoder(sum).Encode(v); err != nil {
		return ""
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// HashKey returns the lower-case hex SHA-256 sum of a key or credential, which is stored in place of it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
