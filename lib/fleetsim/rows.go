package fleetsim

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// rows are the rows of a table for one instance.
type rows struct {
	s     *store
	m     *member
	table string
}

func (r rows) read(ctx context.Context) (feed.Page, error) {
	return source{s: r.s, table: r.table, instance: r.m.host, cost: r.m.cost}.Snapshot(ctx)
}

func (r rows) write(row feed.Row) error {
	time.Sleep(callTime)
	r.m.cost.addCall(0)
	r.s.put(r.table, row)
	return nil
}

// softwareRows implements gatewayproc.SoftwareRows, without its check of versions.
type softwareRows struct{ rows }

func (r softwareRows) ReadAll(ctx context.Context) ([]feed.Row, int64, error) {
	page, err := r.read(ctx)
	return page.Rows, page.Era, err
}

func (r softwareRows) Write(_ context.Context, row feed.Row) error { return r.write(row) }

// refusalRows implements gatewayproc.ConditionalRows, without its check of versions.
type refusalRows struct{ rows }

func (r refusalRows) Write(_ context.Context, row feed.Row) error { return r.write(row) }

func (r refusalRows) Remove(context.Context, feed.Row) error { return nil }

// streamRows implements resume.Rows. Rows are never removed.
type streamRows struct{ rows }

func (r streamRows) ReadAll(ctx context.Context) ([]feed.Row, error) {
	page, err := r.read(ctx)
	return page.Rows, err
}

func (r streamRows) Write(_ context.Context, key string, value []byte) error {
	return r.write(feed.Row{Key: key, Value: value})
}

func (r streamRows) Remove(context.Context, []string) error { return nil }
