package shard

import (
	"sync/atomic"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"notchmux.dev/notchmux/wire"
)

// Entry is a shard as the store holds it.
type Entry struct {
	Name    string
	Record  Record
	Version uint64 // of its key
}

// Key is the key of the shard's record.
func (e Entry) Key() string { return RecordKey(e.Name) }

// Precondition is the condition that the record has not changed.
func (e Entry) Precondition() wire.Precondition {
	return wire.Precondition{Key: e.Key(), Version: wire.Count(e.Version)}
}

// Update is the transaction that writes a later record, under further conditions.
func (e Entry) Update(next Record, preconditions ...wire.Precondition) wire.Transaction {
	return wire.Transaction{
		If:   append(preconditions, e.Precondition()),
		Then: []wire.Change{{Put: e.Key(), Value: next}},
	}
}

// HasOwner reports whether the machines of the shard are not the leader's to answer.
func (e Entry) HasOwner() bool { return e.Record.State == Owned || e.Record.State == Moving }

// Snapshot is the table of all shards at one time. It never changes.
type Snapshot struct {
	shards *iradix.Tree[Entry]
}

// Len is how many shards there are.
func (s Snapshot) Len() int {
	if s.shards == nil {
		return 0
	}
	return s.shards.Len()
}

// Get finds a shard by its name.
func (s Snapshot) Get(name string) (Entry, bool) {
	if s.shards == nil {
		return Entry{}, false
	}
	return s.shards.Get([]byte(name))
}

// Each calls f with every shard, in the order of their names, until it says false.
func (s Snapshot) Each(f func(Entry) bool) {
	if s.shards == nil {
		return
	}
	s.shards.Root().Walk(func(_ []byte, entry Entry) bool { return !f(entry) })
}

// ShardOf finds the shard that a machine is in; false: it is in none.
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

// Overlapping finds a shard that selects some of the same machines.
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

// Table holds the latest snapshot. Readers of any goroutine see it as a whole.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Snapshot is the table as it is now.
func (t *Table) Snapshot() Snapshot {
	if s := t.current.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Replace takes in all records, as they were read.
func (t *Table) Replace(entries []Entry) {
	tree := iradix.New[Entry]().Txn()
	for _, entry := range entries {
		tree.Insert([]byte(entry.Name), entry)
	}
	t.current.Store(&Snapshot{tree.Commit()})
}

// Put takes in one record, unless a later version is known.
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

// Delete forgets a shard whose record is gone as of a revision.
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
