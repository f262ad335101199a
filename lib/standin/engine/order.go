package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// orderState is the desired state set by orders, and the highest fencing number seen.
type orderState struct {
	model    string
	version  string
	role     string
	adapters []string
	fence    uint64
	applied  int // orders that changed something
}

func newOrderState(cfg Config) orderState {
	return orderState{model: cfg.Model, version: cfg.ModelVersion, role: cfg.Role}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	body := io.LimitReader(r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, err.Error(), true)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fencing && o.Fence < s.orders.fence {
		writeError(w, http.StatusConflict, engineapi.ErrFenced, "the fencing number is old", true)
		return
	}
	if !s.orders.apply(o) {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, "unknown order "+o.Kind, true)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply sets the desired state; repeating an order changes nothing. It reports whether the kind is known.
func (st *orderState) apply(o engineapi.Order) bool {
	before := *st
	switch o.Kind {
	case engineapi.OrderLoadModel:
		st.model = o.Model
		if o.Version != "" {
			st.version = o.Version
		}
	case engineapi.OrderLoadVersion:
		st.version = o.Version
	case engineapi.OrderLoadAdapter:
		if !slices.Contains(st.adapters, o.Adapter) {
			st.adapters = append(st.adapters, o.Adapter)
		}
	case engineapi.OrderChangeRole:
		st.role = o.Role
	default:
		return false
	}
	st.fence = max(st.fence, o.Fence)
	if before.model != st.model || before.version != st.version || before.role != st.role ||
		len(before.adapters) != len(st.adapters) {
		st.applied++
	}
	return true
}
