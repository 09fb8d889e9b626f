// Package protocol defines the messages that controllers exchange with users, agents and services, one file for each
// interface:
//
//   - users.go: users submit jobs, query their state and cancel them
//   - agents.go: agents on the machines send heartbeats and receive commands
//   - cloud.go: the cloud rents machines
//   - kvstore.go: the state service, a consensus-backed key-value store
//
// The names on the wire, which the deployment defines, occur only in JSON tags and constant values of this package. Go
// identifiers use the common terms of the field instead. check.go validates submissions and heartbeats before they are
// processed. The package has no state and does no I/O.
//
// The names of fields with a quantity end in its unit: Seconds, GB or Millis.
package protocol

import "github.com/segmentio/encoding/json"

// MaxBody is the maximum size of a request body, in bytes.
const MaxBody = 64 << 10

// Encode returns the JSON encoding of a message. It panics if the value cannot be encoded, for example because a number
// is not finite, which is a bug in the program.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("protocol: cannot encode value as JSON: " + err.Error())
	}
	return data
}
