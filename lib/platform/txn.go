package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Bounds of the pause between attempts to resolve a write; it doubles each time, with jitter.
const (
	settleWaitMin = 20 * time.Millisecond
	settleWaitMax = 250 * time.Millisecond
)

// NewOpID returns a fresh operation id.
func NewOpID() string { return ids.New().String() }

// Txn runs a single transaction. It generates the OpID if there is none.
//
// The platform may execute a transaction whose answer is lost. A caller that simply retried would
// write twice, and one that gave up would report as failed a write that took effect. It is sufficient to read the operation back and,
// if it is not there, to send it again under the same id, because the platform answers a known id
// with its first result.
func (c *Client) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if txn.OpID == "" {
		txn.OpID = NewOpID()
	}
	res, err := c.send(ctx, txn)
	if err == nil {
		return res, nil
	}
	if err.fate != fateLost {
		return res, writeError(err, txn.OpID)
	}
	return c.resolve(ctx, txn, err)
}

// send makes one attempt at a transaction.
func (c *Client) send(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, *exchangeError) {
	if err := c.admit(ctx, useTxn, c.budget.writes); err != nil {
		return platformapi.TxnResult{}, err
	}
	return c.post(ctx, txn)
}

// post is send without taking a token.
func (c *Client) post(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, *exchangeError) {
	var out platformapi.TxnResult
	raw, err := c.rawTxn(txn)
	if err != nil {
		return out, err
	}
	res, err := c.exchange(ctx, useTxn, c.base.New().Post(platformapi.PathTxn).BodyJSON(raw))
	if err != nil {
		return out, err
	}
	return out, decodeTxn(txn, res, &out)
}

// decodeTxn decodes the result of a transaction.
func decodeTxn(txn platformapi.Txn, res response, into *platformapi.TxnResult) *exchangeError {
	if err := decode(res, into); err != nil {
		return err
	}
	return orderTxn(txn, into, res.era)
}

// decode decodes a response; an unreadable response counts as lost.
func decode(res response, into any) *exchangeError {
	if err := json.Unmarshal(res.body, into); err != nil {
		return &exchangeError{fate: fateLost, cause: err}
	}
	return nil
}

// resolve resolves the outcome of a transaction whose answer was lost, until SettleTimeout or the end of ctx.
func (c *Client) resolve(ctx context.Context, txn platformapi.Txn, first *exchangeError) (platformapi.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SettleTimeout)
	defer cancel()
	for wait := settleWaitMin; ; wait = min(2*wait, settleWaitMax) {
		if res, ok := c.readBack(ctx, txn); ok {
			return res, nil
		}
		if !ctxtime.Sleep(ctx, jitter(wait)) {
			return platformapi.TxnResult{}, writeError(first, txn.OpID)
		}
	}
}

// readBack reads the operation's result, or sends the operation again if the platform has none. A missing result alone
// proves nothing: the first attempt may still be in flight.
func (c *Client) readBack(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, bool) {
	var out platformapi.TxnResult
	if c.admit(ctx, useOp, c.budget.reads) != nil {
		return out, false
	}
	res, err := c.exchange(ctx, useOp, c.base.New().Get(platformapi.PathOp+txn.OpID))
	if err != nil {
		return out, false
	}
	if res.status != http.StatusNotFound {
		return out, decodeTxn(txn, res, &out) == nil
	}
	out, err = c.send(ctx, txn)
	return out, err == nil
}

// jitter returns a random duration in the upper half of d, so that clients that lost contact together do not retry together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
