package membudget

import "io"

// ownerShare is the part of the memory for large buffers that one owner may hold: the others must find some.
const ownerShare = 0.85

// Account requests the buffers of one call on behalf of an owner. It is not safe for concurrent use.
type Account struct {
	b     *Budget
	owner string
	held  int64 // bytes at priority Bulk
}

// Account returns an account of an owner. Close it when its buffers are no longer used.
func (b *Budget) Account(owner string) *Account { return &Account{b: b, owner: owner} }

// Alloc is like Budget.Alloc. It also refuses a large buffer if the owner's accounts hold too many.
func (a *Account) Alloc(n int64) (buf []byte, ok bool) {
	if a.b == nil || n <= smallBuffer {
		return a.b.Alloc(n)
	}
	return a.alloc(n)
}

// Grow is like Budget.Grow, with the same refusal.
func (a *Account) Grow(n int64) (buf []byte, ok bool) {
	if a.b == nil || n <= smallGrowth {
		return a.b.Grow(n)
	}
	return a.alloc(n)
}

// alloc returns a large buffer.
func (a *Account) alloc(n int64) (buf []byte, ok bool) {
	ok = a.b.grant(func() bool {
		if !a.add(n) {
			return false
		}
		buf = make([]byte, n)
		return true
	})
	return buf, ok
}

// Admit is like Budget.Admit at priority Bulk. It also refuses what exceeds the owner's share.
func (a *Account) Admit(n int64) bool {
	return a.b == nil || a.b.grant(func() bool { return a.add(n) })
}

// add counts n bytes if both the owner and the process have memory for them. b.mu must be held.
func (a *Account) add(n int64) bool {
	if !a.withinShare(n) || !a.b.add(n, Bulk) {
		return false
	}
	a.b.held[a.owner] += n
	a.b.heldTotal += n
	a.held += n
	return true
}

// withinShare reports whether the owner may hold n bytes more. b.mu must be held.
func (a *Account) withinShare(n int64) bool {
	all := a.b.free(Bulk) + a.b.heldTotal
	return float64(a.b.held[a.owner]+n) <= ownerShare*float64(all)
}

// ReadAll is like Budget.ReadAll, with Alloc.
func (a *Account) ReadAll(r io.Reader, expected, limit int64) ([]byte, error) {
	return readAll(a, r, expected, limit)
}

// Close ends the account.
func (a *Account) Close() {
	if a.held == 0 {
		return
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.b.heldTotal -= a.held
	if a.b.held[a.owner] -= a.held; a.b.held[a.owner] == 0 {
		delete(a.b.held, a.owner)
	}
	a.held = 0
}
