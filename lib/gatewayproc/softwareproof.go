package gatewayproc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// errRowNotCurrent: a service's row of software versions may lack a version, since the store takes no writes.
var errRowNotCurrent = errors.New("gatewayproc: row of software versions may lack one")

// softwareSettle is how long after the store takes writes again a version that could not be written before is in its row.
const softwareSettle = softwareRetry + 100*time.Millisecond

// proveOnlySoftware returns an error unless a service has had a single version, by a row that the store has just accepted: a row that can't be written may
// lack a version whose targets have come and gone.
func (p *Process) proveOnlySoftware(ctx context.Context, service string, version uint64) error {
	rows, _, err := p.readSoftware(ctx)
	if err != nil {
		return err
	}
	row := rows[service]
	writeErr := p.writeSoftware(ctx, service, row)
	if writeErr != nil {
		rows, _, err = p.readSoftware(ctx)
		if err != nil || rows[service].stored == row.stored {
			return fmt.Errorf("%w: %w", errRowNotCurrent, writeErr)
		}
		// Another instance has written it meanwhile.
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(softwareSettle):
	}
	only, ok, err := p.readOnlySoftware(ctx, service)
	switch {
	case err != nil:
		return err
	case !ok || only != version:
		return fmt.Errorf("%w: service %s", errRowNotCurrent, service)
	}
	return nil
}

// writeSoftware writes a service's row if the stored one has not changed since it was read.
func (p *Process) writeSoftware(ctx context.Context, service string, row softwareRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return p.site.SoftwareRows.Write(callCtx, feed.Row{Key: service, Value: value, Version: row.stored})
}
