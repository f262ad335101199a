package feedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// Partitioner selects the rows of a table of which most instances need only a few. It is safe for concurrent use.
type Partitioner interface {
	// WantsSubset reports whether this instance holds only the rows that it needs.
	WantsSubset() bool
	// SubsetFor returns the rows that another instance needs of the table; nil: the whole table.
	SubsetFor(instance, domain string) *Subset
	// Digest summarizes the whole table for instances that hold a subset.
	Digest() []byte
	// ApplyDigest stores the digest received from a peer.
	ApplyDigest([]byte) error
}

// Subset selects the rows of a table that an instance needs.
type Subset struct {
	ID       string // changes whenever the selection changes
	Contains func(feed.Row) bool
}

// wantsSubset reports whether this instance requests only a subset of the table.
func (t *Table) wantsSubset() bool { return t.Partitioner != nil && t.Partitioner.WantsSubset() }

// isPartial reports whether this instance holds only a subset of the table, so that it can't forward it.
func (p *tableCursor) isPartial() bool { return p.replica.Partial() }

// subset returns the rows that the subscriber needs of the table; nil: the whole table.
func (p *tableCursor) subset() *Subset {
	if !p.subsetRequested {
		return nil
	}
	return p.partitioner.SubsetFor(p.instance, p.domain)
}

// nextPage returns the next page for the subscriber.
func (p *tableCursor) nextPage() (page feed.Page, whole, known bool, contact time.Time) {
	subset := p.subset()
	if subset.id() != p.sentSubset {
		p.after.Version = 0 // the selection changed: send it anew
	}
	if subset == nil {
		page, whole, contact, known = p.replica.Since(p.after)
	} else {
		page, whole, contact, known = p.replica.SinceMatching(p.after, subset.Contains)
		page.Partial = true
	}
	if known {
		p.sentSubset = subset.id()
	}
	return page, whole, known, contact
}

func (s *Subset) id() string {
	if s == nil {
		return ""
	}
	return s.ID
}

// nextDigest returns the table's digest if the subscriber needs it and does not have it yet, else nil.
func (p *tableCursor) nextDigest() []byte {
	if p.sentSubset == "" {
		return nil
	}
	d := p.partitioner.Digest()
	if string(d) == p.sentDigest {
		return nil
	}
	p.sentDigest = string(d)
	return d
}
