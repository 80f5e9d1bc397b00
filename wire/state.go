package wire

import "github.com/vmihailenco/msgpack/v5"

// Precondition is a condition of a transaction: the key has this version (0: none).
type Precondition struct {
	Key     string `msgpack:"key"`
	Version Count  `msgpack:"stamp"`
}

// Change is a put or a delete of a transaction.
type Change struct {
	Put    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  Count  `msgpack:"tenure,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Transaction is an atomic transaction on the store.
type Transaction struct {
	If   []Precondition `msgpack:"guards"`
	Then []Change       `msgpack:"then"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision Count    `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// Item is a key with its value and version.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version Count              `msgpack:"stamp"`
	Lease   Count              `msgpack:"tenure"`
}

// Page is part of a range of keys.
type Page struct {
	Items    []Item `msgpack:"rows"`
	More     bool   `msgpack:"more"`
	Revision Count  `msgpack:"epoch"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// LeaseReply grants one.
type LeaseReply struct {
	Lease Count `msgpack:"tenure"`
}

// Event is one change that a watch saw.
type Event struct {
	Put     string             `msgpack:"put"`
	Delete  string             `msgpack:"delete"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version Count              `msgpack:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision Count   `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
