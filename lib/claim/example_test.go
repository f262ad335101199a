package claim_test

import (
	"context"
	"fmt"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// A keyed request runs once. A resend, also to another process, gets the outcome of the first run.
func Example() {
	ctx := context.Background()
	store := standin.New(standin.Config{})
	tableOf := func(instance string) *claim.Table {
		client := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: store.Transport()})
		return claim.New(client, claim.Config{
			Holder:     claim.Holder{Instance: instance},
			HolderGone: func(claim.Holder) bool { return false }, // from membership; a wrong answer is safe
		})
	}
	a, b := tableOf("a"), tableOf("b")
	request := claim.Request{Workspace: "treaty", Key: "order-7", Fingerprint: "sha256 of the content"}

	c, _, refused := a.Begin(ctx, request)
	fmt.Println("a may run it:", refused == nil)
	if refused := c.MarkSent(ctx, "ledger-1", c.FirstAttempt()); refused != nil {
		return // nothing may be sent to the target
	}

	_, _, refused = b.Begin(ctx, request)
	fmt.Println("b while it runs:", refused.Code) // result.AlreadyRunning

	c.Finish(claim.Summary{Code: result.OK, Status: 200, Body: []byte("booked"), Kept: true})
	_ = a.Flush(ctx)
	_, earlier, _ := b.Begin(ctx, request)
	fmt.Printf("b after it: %s\n", earlier.Body)

	request.Fingerprint = "of other content"
	_, _, refused = b.Begin(ctx, request)
	fmt.Println("the key with other content:", refused.Code) // result.KeyReused

	// Output:
	// a may run it: true
	// b while it runs: 3009
	// b after it: booked
	// the key with other content: 2006
}
