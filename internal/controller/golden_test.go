package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/provision"
	"notchmux.dev/notchmux/wire"
)

// The encoding of stored records is fixed: the next leader, possibly of another release, reads this leader's records.
func TestStoredRecordsKeepTheirEncoding(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		bytes string
		text  string // as JSON, the size of which counts towards the store's limits
	}{
		{
			"format",
			persist.FormatRecord{Version: 2, TasksPerChunk: 64},
			"82a776657273696f6e02a57461736b7340", `{"version":2,"tasks":64}`,
		},
		{"node", formatgate.NodeRecord{Version: 2}, "81a776657273696f6e02", `{"version":2}`},
		{
			"dependencies",
			cluster.DependencyRecord{Dependencies: []string{"j-1", "j-2"}},
			"81a16e92a36a2d31a36a2d32", `{"n":["j-1","j-2"]}`,
		},
		{
			"first machine",
			provision.FirstProvisionedRecord{Machine: "i-000231"},
			"81a16da8692d303030323331", `{"m":"i-000231"}`,
		},
		{
			"instance request",
			provision.InstanceRequestRecord{
				Request: wire.InstanceRequest{
					RequestID: "r-7-1", Type: "small", Zone: "east", Spot: true, Count: 2,
				},
				Machines: []string{"i-000231"}, Answered: true, CreatedAt: 1700000000000000,
				Terminating: []string{"i-000232"},
			},
			"85a17285a468697265a5722d372d31a3726967a5736d616c6ca479617264a465617374a76c6f616e657273c3a5636f756e7402" +
				"a16d91a8692d303030323331a161c3a26174cf00060a24181e4000a16291a8692d303030323332",
			`{"r":{"hire":"r-7-1","rig":"small","yard":"east","loaners":true,"count":2},` +
				`"m":["i-000231"],"a":true,"at":1700000000000000,"b":["i-000232"]}`,
		},
	} {
		if err := golden.Binary(c.value, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if err := golden.JSON(c.value, c.text); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
