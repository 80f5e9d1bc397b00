package shard

import (
	"sync/atomic"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"notchmux.dev/notchmux/wire"
)

// Entry is a shard's record as stored, with its name and version.
type Entry struct {
	Name    string
	Record  Record
	Version uint64 // of the record's key
}

// Key returns the key of the shard's record.
func (e Entry) Key() string { return RecordKey(e.Name) }

// Precondition returns the precondition that the record has not changed.
func (e Entry) Precondition() wire.Precondition {
	return wire.Precondition{Key: e.Key(), Version: wire.Count(e.Version)}
}

// Update returns the transaction that replaces the record with next, provided that the record has not changed and
// that the given preconditions hold.
func (e Entry) Update(next Record, preconditions ...wire.Precondition) wire.Transaction {
	return wire.Transaction{
		If:   append(preconditions, e.Precondition()),
		Then: []wire.Change{{Put: e.Key(), Value: next}},
	}
}

// HasOwner reports whether the record names a shard owner. If so, it is not the leader that answers the shard's
// machines.
func (e Entry) HasOwner() bool { return e.Record.State == Owned || e.Record.State == Moving }

// Snapshot is an immutable table of all shards at one point in time.
type Snapshot struct {
	shards *iradix.Tree[Entry]
}

// Len returns the number of shards.
func (s Snapshot) Len() int {
	if s.shards == nil {
		return 0
	}
	return s.shards.Len()
}

// Get returns the shard with the name; false: there is none.
func (s Snapshot) Get(name string) (Entry, bool) {
	if s.shards == nil {
		return Entry{}, false
	}
	return s.shards.Get([]byte(name))
}

// Each calls f with every shard, in the order of their names, until f returns false.
func (s Snapshot) Each(f func(Entry) bool) {
	if s.shards == nil {
		return
	}
	s.shards.Root().Walk(func(_ []byte, entry Entry) bool { return !f(entry) })
}

// ShardOf returns the shard that selects a machine with the attributes; false: there is none.
func (s Snapshot) ShardOf(a Attributes) (Entry, bool) {
	var found Entry
	ok := false
	s.Each(func(entry Entry) bool {
		if entry.Record.Selector.Matches(a) {
			found, ok = entry, true
		}
		return !ok
	})
	return found, ok
}

// Overlapping returns a shard whose selector could match some of the same machines; false: there is none.
func (s Snapshot) Overlapping(selector Selector) (Entry, bool) {
	var found Entry
	ok := false
	s.Each(func(entry Entry) bool {
		if entry.Record.Selector.Overlaps(selector) {
			found, ok = entry, true
		}
		return !ok
	})
	return found, ok
}

// Table holds the latest snapshot of the shards. Any goroutine may use it; readers always see a complete snapshot.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Snapshot returns the current table.
func (t *Table) Snapshot() Snapshot {
	if s := t.current.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Replace replaces the whole table with the records that were read.
func (t *Table) Replace(entries []Entry) {
	tree := iradix.New[Entry]().Txn()
	for _, entry := range entries {
		tree.Insert([]byte(entry.Name), entry)
	}
	t.current.Store(&Snapshot{tree.Commit()})
}

// Put adds or replaces one record, unless the table has the same or a later version of it.
func (t *Table) Put(entry Entry) {
	for {
		previous := t.current.Load()
		tree := iradix.New[Entry]()
		if previous != nil {
			tree = previous.shards
		}
		if known, ok := tree.Get([]byte(entry.Name)); ok && known.Version >= entry.Version {
			return
		}
		tree, _, _ = tree.Insert([]byte(entry.Name), entry)
		if t.current.CompareAndSwap(previous, &Snapshot{tree}) {
			return
		}
	}
}

// Delete removes a shard whose record was deleted at the revision, unless the table has a later version of it.
func (t *Table) Delete(name string, revision uint64) {
	for {
		previous := t.current.Load()
		if previous == nil {
			return
		}
		if known, ok := previous.shards.Get([]byte(name)); !ok || known.Version > revision {
			return
		}
		tree, _, _ := previous.shards.Delete([]byte(name))
		if t.current.CompareAndSwap(previous, &Snapshot{tree}) {
			return
		}
	}
}
