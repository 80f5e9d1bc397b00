package fake

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

func send(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetBody(wire.MustMarshal(body))
}

// statusOf maps the store's errors to the protocol's statuses.
func statusOf(err error) int {
	switch {
	case err == nil:
		return 200
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrNoLease):
		return 404
	case errors.Is(err, store.ErrConflict):
		return 409
	case errors.Is(err, store.ErrMalformed):
		return 400
	case errors.Is(err, store.ErrRateLimited):
		return 429
	}
	return 503
}

// rawTxn is a transaction with its values as they came.
type rawTxn struct {
	If   []wire.Guard `msgpack:"guards"`
	Then []struct {
		Put    string     `msgpack:"put"`
		Value  any        `msgpack:"v"`
		Lease  wire.Count `msgpack:"tenure"`
		Delete string     `msgpack:"delete"`
	} `msgpack:"then"`
}

// Handle serves the store over HTTP.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	bg, path, args := context.Background(), string(ctx.Path()), ctx.QueryArgs()
	switch {
	case strings.HasPrefix(path, "/keys/"):
		it, err := s.Get(bg, store.Routine, path[len("/keys/"):])
		send(ctx, statusOf(err), it)
	case path == "/keys":
		limit, err := strconv.Atoi(string(args.Peek("limit")))
		if err != nil || limit < 1 || limit > 1000 {
			limit = 1000
		}
		p, err := s.Range(bg, store.Routine, string(args.Peek("prefix")), string(args.Peek("since")), limit)
		send(ctx, statusOf(err), p)
	case path == "/commit":
		var in rawTxn
		if wire.Unmarshal(ctx.PostBody(), &in) != nil {
			send(ctx, 400, nil)
			return
		}
		t := wire.Txn{If: in.If}
		for _, c := range in.Then {
			t.Then = append(t.Then, wire.Change{Put: c.Put, Value: c.Value, Lease: c.Lease, Delete: c.Delete})
		}
		if len(t.Then) == 0 { // only compares: what failed is asked for
			failed := s.failed(t.If)
			if len(failed) > 0 {
				send(ctx, 409, wire.TxnResult{Failed: failed})
				return
			}
		}
		rev, err := s.Commit(bg, store.Routine, t)
		if errors.Is(err, store.ErrNoLease) {
			send(ctx, 400, wire.TxnResult{Error: "no such lease"})
			return
		}
		send(ctx, statusOf(err), wire.TxnResult{Revision: wire.Count(rev)})
	case path == "/leases":
		var in wire.LeaseRequest
		if wire.Unmarshal(ctx.PostBody(), &in) != nil {
			send(ctx, 400, nil)
			return
		}
		id, err := s.Grant(bg, micro.Time(in.TTLMs)*micro.Millisecond)
		send(ctx, statusOf(err), wire.LeaseReply{Lease: wire.Count(id)})
	case strings.HasPrefix(path, "/leases/"):
		rest, renew := strings.CutSuffix(path[len("/leases/"):], "/extend")
		id, err := strconv.ParseUint(rest, 10, 64)
		if err == nil && renew {
			err = s.Renew(bg, id)
		} else if err == nil {
			err = s.Revoke(bg, id)
		}
		send(ctx, statusOf(err), map[string]any{})
	case path == "/changes":
		since, _ := strconv.ParseUint(string(args.Peek("since")), 10, 64)
		ms, _ := strconv.ParseInt(string(args.Peek("waitMs")), 10, 64)
		ev, err := s.Watch(bg, string(args.Peek("prefix")), since, micro.Time(ms)*micro.Millisecond)
		send(ctx, statusOf(err), ev)
	default:
		send(ctx, 404, nil)
	}
}

// Handle serves the cloud over HTTP.
func (c *Cloud) Handle(ctx *fasthttp.RequestCtx) {
	bg, path := context.Background(), string(ctx.Path())
	switch {
	case path == "/catalog":
		cat, _ := c.Catalog(bg)
		send(ctx, 200, cat)
	case path == "/machines" && ctx.IsGet():
		l, _ := c.List(bg, "")
		send(ctx, 200, l)
	case path == "/machines":
		var r wire.Rental
		if wire.Unmarshal(ctx.PostBody(), &r) != nil || r.Count < 1 || r.Count > 50 {
			send(ctx, 400, nil)
			return
		}
		names, err := c.Rent(bg, r)
		if errors.Is(err, cloud.ErrNoCapacity) {
			send(ctx, 503, map[string]string{"error": "no capacity"})
			return
		}
		send(ctx, 200, wire.MachineNames{Machines: names})
	case path == "/machines/return":
		var m wire.MachineNames
		if wire.Unmarshal(ctx.PostBody(), &m) != nil {
			send(ctx, 400, nil)
			return
		}
		_ = c.Return(bg, m.Machines)
		send(ctx, 200, map[string]any{})
	default:
		send(ctx, 404, nil)
	}
}

// failed lists the keys whose conditions do not hold.
func (s *Store) failed(guards []wire.Guard) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, g := range guards {
		if s.keys[g.Key].stamp != uint64(g.Version) {
			out = append(out, g.Key)
		}
	}
	return out
}
