package protocol

import (
	stdjson "encoding/json"
)

// Entry is a key of the key-value store with its value. A key with a lease is deleted when the lease expires.
type Entry struct {
	Key     string             `json:"path"`
	Value   stdjson.RawMessage `json:"v"`
	Version uint64             `json:"version"`
	Lease   uint64             `json:"permiso,omitempty"`
}

// EntryList is one page of keys, all of them read at one revision.
type EntryList struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"more"`
	Revision uint64  `json:"revision"`
}

// Condition is what a transaction compares: the key has this version, or does not exist if it is 0.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"version"`
}

// Op is one change of a transaction: a set or a delete.
type Op struct {
	Set    string             `json:"set,omitempty"`
	Value  stdjson.RawMessage `json:"v,omitempty"`
	Lease  uint64             `json:"permiso,omitempty"`
	Delete string             `json:"delete,omitempty"`
}

// Txn is a compare-and-swap of the key-value store: if all conditions hold, all changes are made, else none.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Then       []Op        `json:"then,omitempty"`
}

// TxnResult is the answer to a transaction. Failed names the keys whose conditions did not hold.
type TxnResult struct {
	Revision uint64   `json:"revision"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease of the key-value store.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant is a lease of the key-value store.
type LeaseGrant struct {
	Lease uint64 `json:"permiso"`
}

// Changes is the answer of a watch: all changes up to a revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	Events   []Change `json:"news"`
}

// Change is one change that a watch returns: a set or a delete.
type Change struct {
	Set     string             `json:"set,omitempty"`
	Delete  string             `json:"delete,omitempty"`
	Value   stdjson.RawMessage `json:"v,omitempty"`
	Version uint64             `json:"version"`
}
