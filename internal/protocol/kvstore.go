package protocol

import (
	stdjson "encoding/json"
)

// Entry is a key of the state service with its value. A key with a lease is deleted when the lease expires. Version is
// the revision of the key's last change.
type Entry struct {
	Key     string             `json:"path"`
	Value   stdjson.RawMessage `json:"v"`
	Version uint64             `json:"version"`
	Lease   uint64             `json:"permiso,omitempty"`
}

// EntryList is one page of keys, all read at the same revision.
type EntryList struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"more"`
	Revision uint64  `json:"revision"`
}

// Condition is a condition of a transaction: the key has this version, or does not exist if the version is 0.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"version"`
}

// Op is one change of a transaction. It sets or deletes a key.
type Op struct {
	Set    string             `json:"set,omitempty"`
	Value  stdjson.RawMessage `json:"v,omitempty"`
	Lease  uint64             `json:"permiso,omitempty"`
	Delete string             `json:"delete,omitempty"`
}

// Txn is a transaction of the state service, a compare-and-swap: if all conditions hold, all changes are made,
// otherwise none.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Then       []Op        `json:"then,omitempty"`
}

// TxnResult is the answer to a transaction. Failed lists the keys whose conditions failed.
type TxnResult struct {
	Revision uint64   `json:"revision"`
	Failed   []string `json:"failed"`
}

// LeaseRequest is a request for a lease of the state service.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant is the answer to a LeaseRequest.
type LeaseGrant struct {
	Lease uint64 `json:"permiso"`
}

// Changes is the answer to a watch: all changes up to a revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	Events   []Change `json:"news"`
}

// Change is one change reported by a watch. The key was set or deleted.
type Change struct {
	Set     string             `json:"set,omitempty"`
	Delete  string             `json:"delete,omitempty"`
	Value   stdjson.RawMessage `json:"v,omitempty"`
	Version uint64             `json:"version"`
}
