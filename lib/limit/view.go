package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is one set of members, with a cache of the holders looked up so far.
type view struct {
	members []string
	digest  uint64
	holders map[Key]string
}

func newView(members []string) *view {
	v := &view{members: slices.Compact(slices.Sorted(slices.Values(members))), holders: make(map[Key]string)}
	var d xxhash.Digest
	d.Reset()
	for _, m := range v.members {
		_, _ = d.WriteString(m)
		_, _ = d.Write([]byte{0})
	}
	v.digest = d.Sum64()
	return v
}

// holder returns the holder of key: the member with the highest hash of member and key.
func (v *view) holder(key Key) string {
	if h, ok := v.holders[key]; ok {
		return h
	}
	var best string
	var bestWeight uint64
	for _, m := range v.members {
		if w := weight(m, key); best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	if len(v.holders) >= maxHolderCache {
		clear(v.holders)
	}
	v.holders[key] = best
	return best
}

// maxHolderCache bounds a view's memory when callers use arbitrary keys.
const maxHolderCache = 1 << 14

func weight(member string, key Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{member, key.Workspace, key.Class} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (v *view) majority() int { return len(v.members)/2 + 1 }

// history holds the views of the last HandoverDelay, and older ones up to maxViews, newest last.
type history struct {
	views []datedView
}

type datedView struct {
	*view
	since time.Time
}

// maxViews bounds the history. A peer with an older view gives no support until it catches up.
const maxViews = 16

// set makes members the current view. It reports whether the view changed.
func (h *history) set(now time.Time, members []string) bool {
	v := newView(members)
	if cur := h.current(); cur != nil && cur.digest == v.digest {
		return false
	}
	h.views = append(h.views, datedView{view: v, since: now})
	if len(h.views) > maxViews {
		h.views = slices.Delete(h.views, 0, 1)
	}
	return true
}

// currentSince returns when the current view was set; the zero time when there is no view.
func (h *history) currentSince() time.Time {
	if len(h.views) == 0 {
		return time.Time{}
	}
	return h.views[len(h.views)-1].since
}

func (h *history) current() *view {
	if len(h.views) == 0 {
		return nil
	}
	return h.views[len(h.views)-1].view
}

// recent returns the digests of the views in force after cut, newest first. It returns none when the history does not reach
// back to cut, as after a restart: what this process supported before is then unknown.
func (h *history) recent(cut time.Time) []uint64 {
	var digests []uint64
	for i := len(h.views) - 1; i >= 0; i-- {
		digests = append(digests, h.views[i].digest)
		if !h.views[i].since.After(cut) {
			return digests
		}
	}
	return nil
}

// heldInAll reports whether self holds key in every view of digests. An unknown view counts as disagreement.
func (h *history) heldInAll(self string, key Key, digests []uint64) bool {
	for _, d := range digests {
		v := h.find(d)
		if v == nil || v.holder(key) != self {
			return false
		}
	}
	return len(digests) > 0
}

func (h *history) find(digest uint64) *view {
	for i := len(h.views) - 1; i >= 0; i-- {
		if h.views[i].digest == digest {
			return h.views[i].view
		}
	}
	return nil
}

// heldSince returns the time since when self has held key without interruption; ok is false when it does not hold key now.
func (h *history) heldSince(self string, key Key) (since time.Time, ok bool) {
	for i := len(h.views) - 1; i >= 0; i-- {
		if h.views[i].holder(key) != self {
			break
		}
		since, ok = h.views[i].since, true
	}
	return since, ok
}
