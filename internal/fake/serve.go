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

func respond(ctx *fasthttp.RequestCtx, status int, body any) {
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

// rawTransaction is a transaction with its values as they came.
type rawTransaction struct {
	If   []wire.Precondition `msgpack:"guards"`
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
		item, err := s.Get(bg, store.Routine, path[len("/keys/"):])
		respond(ctx, statusOf(err), item)
	case path == "/keys":
		limit, err := strconv.Atoi(string(args.Peek("limit")))
		if err != nil || limit < 1 || limit > 1000 {
			limit = 1000
		}
		page, err := s.Range(bg, store.Routine, string(args.Peek("prefix")), string(args.Peek("since")), limit)
		respond(ctx, statusOf(err), page)
	case path == "/commit":
		var request rawTransaction
		if wire.Unmarshal(ctx.PostBody(), &request) != nil {
			respond(ctx, 400, nil)
			return
		}
		txn := wire.Transaction{If: request.If}
		for _, change := range request.Then {
			put := wire.Change{Put: change.Put, Value: change.Value, Lease: change.Lease, Delete: change.Delete}
			txn.Then = append(txn.Then, put)
		}
		if len(txn.Then) == 0 { // only compares: what failed is asked for
			if failed := s.failedPreconditions(txn.If); len(failed) > 0 {
				respond(ctx, 409, wire.TransactionResult{Failed: failed})
				return
			}
		}
		revision, err := s.Commit(bg, store.Routine, txn)
		if errors.Is(err, store.ErrNoLease) {
			respond(ctx, 400, wire.TransactionResult{Error: "no such lease"})
			return
		}
		respond(ctx, statusOf(err), wire.TransactionResult{Revision: wire.Count(revision)})
	case path == "/leases":
		var request wire.LeaseRequest
		if wire.Unmarshal(ctx.PostBody(), &request) != nil {
			respond(ctx, 400, nil)
			return
		}
		id, err := s.Grant(bg, micro.Time(request.TTLMs)*micro.Millisecond)
		respond(ctx, statusOf(err), wire.LeaseReply{Lease: wire.Count(id)})
	case strings.HasPrefix(path, "/leases/"):
		leaseID, renew := strings.CutSuffix(path[len("/leases/"):], "/extend")
		id, err := strconv.ParseUint(leaseID, 10, 64)
		if err == nil && renew {
			err = s.Renew(bg, id)
		} else if err == nil {
			err = s.Revoke(bg, id)
		}
		respond(ctx, statusOf(err), map[string]any{})
	case path == "/changes":
		since, _ := strconv.ParseUint(string(args.Peek("since")), 10, 64)
		waitMs, _ := strconv.ParseInt(string(args.Peek("waitMs")), 10, 64)
		events, err := s.Watch(bg, string(args.Peek("prefix")), since, micro.Time(waitMs)*micro.Millisecond)
		respond(ctx, statusOf(err), events)
	default:
		respond(ctx, 404, nil)
	}
}

// Handle serves the cloud over HTTP.
func (c *Cloud) Handle(ctx *fasthttp.RequestCtx) {
	bg, path := context.Background(), string(ctx.Path())
	switch {
	case path == "/catalog":
		catalog, _ := c.Catalog(bg)
		respond(ctx, 200, catalog)
	case path == "/machines" && ctx.IsGet():
		list, _ := c.List(bg, "")
		respond(ctx, 200, list)
	case path == "/machines":
		var request wire.InstanceRequest
		if wire.Unmarshal(ctx.PostBody(), &request) != nil || request.Count < 1 || request.Count > 50 {
			respond(ctx, 400, nil)
			return
		}
		names, err := c.RequestInstances(bg, request)
		if errors.Is(err, cloud.ErrNoCapacity) {
			respond(ctx, 503, map[string]string{"error": "no capacity"})
			return
		}
		respond(ctx, 200, wire.MachineNames{Machines: names})
	case path == "/machines/return":
		var request wire.MachineNames
		if wire.Unmarshal(ctx.PostBody(), &request) != nil {
			respond(ctx, 400, nil)
			return
		}
		_ = c.Terminate(bg, request.Machines)
		respond(ctx, 200, map[string]any{})
	default:
		respond(ctx, 404, nil)
	}
}

// failedPreconditions lists the keys whose conditions do not hold.
func (s *Store) failedPreconditions(preconditions []wire.Precondition) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, condition := range preconditions {
		if s.keys[condition.Key].version != uint64(condition.Version) {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}
