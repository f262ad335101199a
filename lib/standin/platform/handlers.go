package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var txn platformapi.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if txn.OpID == "" {
		http.Error(w, "op_id is missing", http.StatusBadRequest)
		return
	}
	if len(txn.Conds) > MaxTxnKeys || len(txn.Puts)+len(txn.Deletes) > MaxTxnKeys {
		http.Error(w, "too many keys", http.StatusRequestEntityTooLarge)
		return
	}
	res, era := s.table.apply(txn, time.Now())
	writeWithEra(w, era, res)
}

func (s *Server) op(w http.ResponseWriter, r *http.Request) {
	res, era, ok := s.table.op(r.PathValue("id"))
	setEraHeader(w, era)
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, res)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	it, era, ok := s.table.get(r.URL.Query().Get("key"), s.asOf())
	setEraHeader(w, era)
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, it)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64) // absent or malformed: from the start
	limit, _ := strconv.Atoi(q.Get("limit"))                  // absent or malformed: the default
	res, era := s.table.scan(q.Get("prefix"), after, limit, s.asOf())
	writeWithEra(w, era, res)
}

// writeWithEra writes a result of the table, with the table's era in the header.
func writeWithEra(w http.ResponseWriter, era uint64, v any) {
	setEraHeader(w, era)
	writeJSON(w, v)
}

func setEraHeader(w http.ResponseWriter, era uint64) {
	w.Header().Set(platformapi.HeaderEra, strconv.FormatUint(era, 10))
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.objMu.Lock()
	defer s.objMu.Unlock()
	switch r.Method {
	case http.MethodPut:
		b, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.objects[name] = b
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		b, ok := s.objects[name]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(b) // an error means that the client has disconnected
	case http.MethodDelete:
		delete(s.objects, name)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	lag := s.cfg.ListLag
	if d, hit := s.faults.hit(FaultListLag, false, now); hit {
		lag = d
	}
	writeJSON(w, s.instances.asOf(now.Add(-lag)))
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	if !s.weights.Allow() {
		writeRateLimited(w, time.Duration(float64(time.Second)/s.cfg.WeightsPerSec))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.SetFault(f) {
		http.Error(w, "unknown kind", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var in platformapi.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.ID = r.PathValue("id")
	s.PutInstance(in)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
