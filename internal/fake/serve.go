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

// statusOf returns the HTTP status of the protocol for an error of the store.
func statusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrNoLease):
		return fasthttp.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return fasthttp.StatusConflict
	case errors.Is(err, store.ErrMalformed):
		return fasthttp.StatusBadRequest
	case errors.Is(err, store.ErrRateLimited):
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

// rawTransaction is wire.Transaction with generically decoded values.
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
		page, err := s.Range(
			bg, store.Routine, string(args.Peek("prefix")), string(args.Peek("since")), pageLimit(args.Peek("limit")),
		)
		respond(ctx, statusOf(err), page)
	case path == "/commit":
		s.handleCommit(bg, ctx)
	case path == "/leases":
		var request wire.LeaseRequest
		if wire.Unmarshal(ctx.PostBody(), &request) != nil {
			respond(ctx, fasthttp.StatusBadRequest, nil)
			return
		}
		id, err := s.Grant(bg, micro.Time(request.TTLMs)*micro.Millisecond)
		respond(ctx, statusOf(err), wire.LeaseReply{Lease: wire.Count(id)})
	case strings.HasPrefix(path, "/leases/"):
		respond(ctx, statusOf(s.handleLease(bg, path[len("/leases/"):])), map[string]any{})
	case path == "/changes":
		since, _ := strconv.ParseUint(string(args.Peek("since")), 10, 64)
		waitMs, _ := strconv.ParseInt(string(args.Peek("waitMs")), 10, 64)
		events, err := s.Watch(bg, string(args.Peek("prefix")), since, micro.Time(waitMs)*micro.Millisecond)
		respond(ctx, statusOf(err), events)
	default:
		respond(ctx, fasthttp.StatusNotFound, nil)
	}
}

// maxPage is the largest number of items on a page.
const maxPage = 1000

// pageLimit parses the size of a page. It returns maxPage for an invalid size.
func pageLimit(argument []byte) int {
	limit, err := strconv.Atoi(string(argument))
	if err != nil || limit < 1 || limit > maxPage {
		return maxPage
	}
	return limit
}

// handleCommit handles a request to execute a transaction.
func (s *Store) handleCommit(bg context.Context, ctx *fasthttp.RequestCtx) {
	var request rawTransaction
	if wire.Unmarshal(ctx.PostBody(), &request) != nil {
		respond(ctx, fasthttp.StatusBadRequest, nil)
		return
	}
	txn := wire.Transaction{If: request.If}
	for _, change := range request.Then {
		put := wire.Change{Put: change.Put, Value: change.Value, Lease: change.Lease, Delete: change.Delete}
		txn.Then = append(txn.Then, put)
	}
	if len(txn.Then) == 0 { // only preconditions: the caller asks which of them failed
		if failed := s.failedPreconditions(txn.If); len(failed) > 0 {
			respond(ctx, fasthttp.StatusConflict, wire.TransactionResult{Failed: failed})
			return
		}
	}
	revision, err := s.Commit(bg, store.Routine, txn)
	if errors.Is(err, store.ErrNoLease) {
		respond(ctx, fasthttp.StatusBadRequest, wire.TransactionResult{Error: "no such lease"})
		return
	}
	respond(ctx, statusOf(err), wire.TransactionResult{Revision: wire.Count(revision)})
}

// handleLease renews or ends a lease; rest is the path after "/leases/".
func (s *Store) handleLease(bg context.Context, rest string) error {
	leaseID, renew := strings.CutSuffix(rest, "/extend")
	id, err := strconv.ParseUint(leaseID, 10, 64)
	if err != nil {
		return err
	}
	if renew {
		return s.Renew(bg, id)
	}
	return s.Revoke(bg, id)
}

// Handle serves the cloud over HTTP.
func (c *Cloud) Handle(ctx *fasthttp.RequestCtx) {
	bg, path := context.Background(), string(ctx.Path())
	switch {
	case path == "/catalog":
		catalog, _ := c.Catalog(bg)
		respond(ctx, fasthttp.StatusOK, catalog)
	case path == "/machines" && ctx.IsGet():
		list, _ := c.List(bg, "")
		respond(ctx, fasthttp.StatusOK, list)
	case path == "/machines":
		var request wire.InstanceRequest
		if wire.Unmarshal(ctx.PostBody(), &request) != nil || request.Count < 1 || request.Count > 50 {
			respond(ctx, fasthttp.StatusBadRequest, nil)
			return
		}
		names, err := c.RequestInstances(bg, request)
		if errors.Is(err, cloud.ErrNoCapacity) {
			respond(ctx, fasthttp.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		respond(ctx, fasthttp.StatusOK, wire.MachineNames{Machines: names})
	case path == "/machines/return":
		var request wire.MachineNames
		if wire.Unmarshal(ctx.PostBody(), &request) != nil {
			respond(ctx, fasthttp.StatusBadRequest, nil)
			return
		}
		_ = c.Terminate(bg, request.Machines)
		respond(ctx, fasthttp.StatusOK, map[string]any{})
	default:
		respond(ctx, fasthttp.StatusNotFound, nil)
	}
}

// failedPreconditions returns the keys whose preconditions do not hold.
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
