package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// Stream is one attempt's stream of frames. Next must be called from one goroutine; Close may be called from any.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	// Software is the version of its software that the engine names; empty: none.
	Software string
	events   *eventReader
	parser   frameParser
	frame    Frame
}

// Open sends body to path and returns the response as a stream. The error is ErrNotSent if no byte left this process, a
// *RefusedError if the engine refused the request, and ErrBroken otherwise. Cancelling ctx closes the connection.
func (c *Client) Open(ctx context.Context, path string, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	sctx, sent := withSent(ctx)
	req, err := http.NewRequestWithContext(sctx, http.MethodPost, c.base+path, newOnceBody(body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.clients.singleUse.Do(req)
	if err != nil {
		cancel()
		return nil, classify(err, sent)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, readRefusal(resp)
	}
	st := NewStream(resp.Body)
	st.cancel = cancel
	st.Software = resp.Header.Get(engineapi.HeaderSoftware)
	st.events.memory = c.clients.Memory
	return st, nil
}

// NewStream returns a Stream that reads the events of a body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, cancel: func() {}, events: newEventReader(body)}
}

func classify(err error, sent *sentFlag) error {
	if sent.v.Load() {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// Next returns the next frame, valid until the next call. It returns io.EOF if the engine sent [DONE]; a body that ends
// earlier yields ErrTruncated or ErrBroken.
func (s *Stream) Next() (*Frame, error) {
	data, err := s.events.next()
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	case string(data) == engineapi.DoneData:
		return nil, io.EOF
	}
	if err := s.parser.parse(data, &s.frame); err != nil {
		return nil, err
	}
	return &s.frame, nil
}

// Close closes the connection.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}
