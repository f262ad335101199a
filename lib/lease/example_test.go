package lease_test

import (
	"context"
	"fmt"

	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// A process campaigns for a role, writes under its term, and releases the role.
func ExampleRun() {
	store := standin.New(standin.Config{})
	client := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: store.Transport()})
	ctx, cancel := context.WithCancel(context.Background())
	cfg := lease.Config{Name: "placement", Holder: "govan-1"}
	lease.Run(ctx, client, cfg, func(ctx context.Context, h *lease.Term) {
		defer cancel()
		if !h.Valid() {
			return
		}
		res, err := client.Txn(ctx, platformapi.Txn{
			Conds: []platformapi.Cond{h.Cond()}, // refused once another holds the lease
			Puts:  []platformapi.Put{{Key: "intent/planner-1", Value: []byte("version 2")}},
		})
		fmt.Println("fence", h.Fence(), "committed", res.Committed, err)
	})
	status, err := lease.GetStatus(context.Background(), client, "placement")
	fmt.Println("free", status.Free, err)
	// Output:
	// fence 1 committed true <nil>
	// free true <nil>
}
