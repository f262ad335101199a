package feedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// Partitioner divides a table of which most instances need some rows only. It is safe for concurrent use.
type Partitioner interface {
	// WantsSubset reports whether this instance holds no more than the rows that it needs.
	WantsSubset() bool
	// SubsetFor returns what another instance needs of the table; nil: all of it.
	SubsetFor(instance, domain string) *Subset
	// Digest is what one that holds a part has to know of the rest.
	Digest() []byte
	// ApplyDigest takes in what a peer has told.
	ApplyDigest([]byte) error
}

// Subset is what an instance needs of a table.
type Subset struct {
	ID       string // differs whenever something else is needed
	Contains func(feed.Row) bool
}

// wantsPart reports whether this instance asks for a part of a table only.
func (t *Table) wantsPart() bool { return t.Partitioner != nil && t.Partitioner.WantsSubset() }

// hasPart reports whether the table is held in part, so that it can't be passed on.
func (p *passed) hasPart() bool { return p.replica.Partial() }

// need returns what the asker needs of a table; nil: all of it.
func (p *passed) need() *Subset {
	if !p.part {
		return nil
	}
	return p.parts.SubsetFor(p.instance, p.domain)
}

// next returns the page that the asker is to be sent of a table.
func (p *passed) next() (page feed.Page, whole, known bool, contact time.Time) {
	need := p.need()
	if need.name() != p.needed {
		p.after.Version = 0 // it has too little or too much
	}
	if need == nil {
		page, whole, contact, known = p.replica.Since(p.after)
	} else {
		page, whole, contact, known = p.replica.SinceMatching(p.after, need.Contains)
		page.Partial = true
	}
	if known {
		p.needed = need.name()
	}
	return page, whole, known, contact
}

func (n *Subset) name() string {
	if n == nil {
		return ""
	}
	return n.ID
}

// digest returns what the asker is to be told of the rest of a table; nil: nothing that it does not know.
func (p *passed) digest() []byte {
	if p.needed == "" {
		return nil
	}
	d := p.parts.Digest()
	if string(d) == p.told {
		return nil
	}
	p.told = string(d)
	return d
}
