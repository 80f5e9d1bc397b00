package wire

import "github.com/vmihailenco/msgpack/v5"

// Precondition requires that a key has this version for a transaction to be executed. Version 0 requires that the
// key does not exist.
type Precondition struct {
	Key     string `msgpack:"key"`
	Version Count  `msgpack:"stamp"`
}

// Change puts or deletes one key in a transaction.
type Change struct {
	Put    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  Count  `msgpack:"tenure,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Transaction is executed by the store atomically, if all preconditions hold.
type Transaction struct {
	If   []Precondition `msgpack:"guards"`
	Then []Change       `msgpack:"then"`
}

// TransactionResult is the response to a transaction. Failed holds the keys whose preconditions did not hold.
type TransactionResult struct {
	Revision Count    `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// Item is a stored key with its value, version and lease.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version Count              `msgpack:"stamp"`
	Lease   Count              `msgpack:"tenure"`
}

// Page is one page of the items in a range of keys.
type Page struct {
	Items    []Item `msgpack:"rows"`
	More     bool   `msgpack:"more"`
	Revision Count  `msgpack:"epoch"`
}

// LeaseRequest requests a lease from the store.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// LeaseReply is the response to a LeaseRequest and holds the ID of the lease.
type LeaseReply struct {
	Lease Count `msgpack:"tenure"`
}

// Event is one change of a key that a watch returns.
type Event struct {
	Put     string             `msgpack:"put"`
	Delete  string             `msgpack:"delete"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version Count              `msgpack:"stamp"`
}

// Events is the response to a watch: the changes up to a revision.
type Events struct {
	Revision Count   `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
