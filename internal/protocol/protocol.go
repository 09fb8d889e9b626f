// Package protocol holds the messages between controllers and what is around them, one file for each interface:
//
//   - users.go: users submit jobs, read their state and cancel them
//   - agents.go: agents on the machines send heartbeats and take commands
//   - cloud.go: the cloud rents machines
//   - kvstore.go: the consensus-backed key-value store
//
// It is the one place where the words of the deployment stand, in JSON tags and in values of constants: the names of
// types, fields and constants are the usual terms of the field. check.go refuses malformed submissions and heartbeats
// before anything is decided by them. The package holds no state and does no I/O.
//
// Amounts on the wire are numbers with the unit in the name: fields called Seconds, GB or Millis are of that unit.
package protocol

import "github.com/segmentio/encoding/json"

// MaxBody is the largest body of a request, in bytes.
const MaxBody = 64 << 10

// Encode gives the JSON of a value of this package. It panics on a value that has no JSON form, which only a fault
// of the program makes, such as a number that is not finite.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("protocol: value without JSON form: " + err.Error())
	}
	return data
}

// Decode reads JSON and ignores unknown fields.
func Decode(data []byte, v any) error {
	return json.Unmarshal(data, v)
}
