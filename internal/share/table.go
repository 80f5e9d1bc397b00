package share

import (
	"sync/atomic"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"notchmux.dev/notchmux/wire"
)

// Entry is a share as the store holds it.
type Entry struct {
	Name    string
	Record  Record
	Version uint64 // of its key
}

// Key is the key of the share's record.
func (e Entry) Key() string { return RecordKey(e.Name) }

// Guard is the condition that the record has not changed.
func (e Entry) Guard() wire.Guard {
	return wire.Guard{Key: e.Key(), Version: wire.Count(e.Version)}
}

// Put is the transaction that writes a later record, under further conditions.
func (e Entry) Put(later Record, further ...wire.Guard) wire.Txn {
	return wire.Txn{
		If:   append(further, e.Guard()),
		Then: []wire.Change{{Put: e.Key(), Value: later}},
	}
}

// Away reports whether the machines of the share are not the leader's to answer.
func (e Entry) Away() bool { return e.Record.State == Owned || e.Record.State == Moving }

// Snapshot is the table of all shares at one time. It never changes.
type Snapshot struct {
	shares *iradix.Tree[Entry]
}

// Len is how many shares there are.
func (s Snapshot) Len() int {
	if s.shares == nil {
		return 0
	}
	return s.shares.Len()
}

// Get finds a share by its name.
func (s Snapshot) Get(name string) (Entry, bool) {
	if s.shares == nil {
		return Entry{}, false
	}
	return s.shares.Get([]byte(name))
}

// Each calls f with every share, in the order of their names, until it says false.
func (s Snapshot) Each(f func(Entry) bool) {
	if s.shares == nil {
		return
	}
	s.shares.Root().Walk(func(_ []byte, e Entry) bool { return !f(e) })
}

// Of finds the share that a machine is in; false: it is in none.
func (s Snapshot) Of(a Attributes) (Entry, bool) {
	var found Entry
	ok := false
	s.Each(func(e Entry) bool {
		if e.Record.Selector.Matches(a) {
			found, ok = e, true
		}
		return !ok
	})
	return found, ok
}

// Overlapping finds a share that selects some of the same machines.
func (s Snapshot) Overlapping(sel Selector) (Entry, bool) {
	var found Entry
	ok := false
	s.Each(func(e Entry) bool {
		if e.Record.Selector.Overlaps(sel) {
			found, ok = e, true
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
	for _, e := range entries {
		tree.Insert([]byte(e.Name), e)
	}
	t.current.Store(&Snapshot{tree.Commit()})
}

// Put takes in one record, unless a later version is known.
func (t *Table) Put(e Entry) {
	for {
		was := t.current.Load()
		tree := iradix.New[Entry]()
		if was != nil {
			tree = was.shares
		}
		if known, ok := tree.Get([]byte(e.Name)); ok && known.Version >= e.Version {
			return
		}
		tree, _, _ = tree.Insert([]byte(e.Name), e)
		if t.current.CompareAndSwap(was, &Snapshot{tree}) {
			return
		}
	}
}

// Delete forgets a share whose record is gone as of a revision.
func (t *Table) Delete(name string, revision uint64) {
	for {
		was := t.current.Load()
		if was == nil {
			return
		}
		if known, ok := was.shares.Get([]byte(name)); !ok || known.Version > revision {
			return
		}
		tree, _, _ := was.shares.Delete([]byte(name))
		if t.current.CompareAndSwap(was, &Snapshot{tree}) {
			return
		}
	}
}
