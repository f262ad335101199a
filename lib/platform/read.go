package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// Get reads a key; it reports false if the key is absent. The answer may be stale: make
// writes conditional on the revision read.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Item, bool, error) {
	var out platformapi.Item
	era, found, err := c.read(ctx, useGet, platformapi.PathGet+"?"+url.Values{"key": {key}}.Encode(), &out)
	if !found {
		out = platformapi.Item{Key: key}
	}
	out.Rev = platformapi.OrderedRev(era, out.Rev)
	return out, found, err
}

// Range reads one page of the items under prefix written after a revision, in order of revision. limit 0
// leaves the page size to the platform. While More is set, continue after the last item's revision. If after is of an earlier era,
// Range returns the first page of all items.
func (c *Client) Range(ctx context.Context, prefix string, after uint64, limit int) (platformapi.RangeResult, error) {
	for {
		from := after
		if platformapi.EraOf(after) != c.Era() {
			from = 0
		}
		out, era, err := c.page(ctx, prefix, from, limit)
		if err != nil || from == 0 || era == platformapi.EraOf(from) {
			return out, err
		}
	}
}

// page reads one page of items in the current era of the table.
func (c *Client) page(ctx context.Context, prefix string, after uint64, limit int) (platformapi.RangeResult, uint64, error) {
	q := url.Values{"prefix": {prefix}, "after_rev": {strconv.FormatUint(platformapi.RevOf(after), 10)}}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	var out platformapi.RangeResult
	era, _, err := c.read(ctx, useRange, platformapi.PathRange+"?"+q.Encode(), &out)
	orderRange(&out, era)
	return out, era, err
}

// Instances reads the platform's instance list, which lags by seconds.
func (c *Client) Instances(ctx context.Context) (platformapi.InstanceList, error) {
	var out platformapi.InstanceList
	_, _, err := c.read(ctx, useInstances, platformapi.PathInstances, &out)
	return out, err
}

// StartTransfer requests permission from the weight store to start a transfer. While the store is at its limit it
// returns false and the time until the next try.
func (c *Client) StartTransfer(ctx context.Context, model, version string) (bool, time.Duration, error) {
	path := platformapi.PathWeights + url.PathEscape(model) + "/" + url.PathEscape(version)
	res, err := c.exchangeRead(ctx, useWeights, c.base.New().Get(path))
	if err != nil && err.fate == fateNotSent && res.status == http.StatusTooManyRequests {
		return false, err.retryAfter, nil
	}
	if err != nil {
		return false, 0, readError(err, path)
	}
	return res.status == http.StatusOK, 0, nil
}

// PutObject stores an object. It is idempotent.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.object(ctx, name, c.base.New().Put(objectPath(name)).Body(bytes.NewReader(body)))
}

// DeleteObject removes an object. It is idempotent.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.object(ctx, name, c.base.New().Delete(objectPath(name)))
}

// GetObject reads an object; it reports false if there is none.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	res, err := c.exchangeRead(ctx, useObject, c.base.New().Get(objectPath(name)))
	if err != nil {
		return nil, false, readError(err, name)
	}
	return res.body, res.status != http.StatusNotFound, nil
}

func (c *Client) object(ctx context.Context, name string, req *sling.Sling) error {
	if _, err := c.exchangeRead(ctx, useObject, req); err != nil {
		return writeError(err, "object "+name)
	}
	return nil
}

func objectPath(name string) string { return platformapi.PathObjects + url.PathEscape(name) }

// read requests a JSON document and returns the table's era; found is false for 404.
func (c *Client) read(ctx context.Context, u purpose, path string, into any) (era uint64, found bool, err error) {
	res, exErr := c.exchangeRead(ctx, u, c.base.New().Get(path))
	if exErr != nil {
		return 0, false, readError(exErr, path)
	}
	if res.status == http.StatusNotFound {
		return res.era, false, nil
	}
	if err := decode(res, into); err != nil {
		return 0, false, readError(err, path)
	}
	return res.era, true, nil
}

// exchangeRead makes one exchange out of the read budget.
func (c *Client) exchangeRead(ctx context.Context, u purpose, req *sling.Sling) (response, *exchangeError) {
	if err := c.admit(ctx, u, c.budget.reads); err != nil {
		return response{}, err
	}
	return c.exchange(ctx, u, req)
}
