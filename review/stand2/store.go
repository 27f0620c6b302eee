package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyDuration is how long the store keeps the history of changes, as in the settings of a small deployment.
const historyDuration = 20 * time.Second

// storeRow is a row as it is sent over the wire.
type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version uint64  `json:"version_number"`
	Deleted bool    `json:"deleted,omitempty"`
}

type storeTransaction struct {
	Precondition []storeRow `json:"precondition"`
	Writes       []storeRow `json:"writes"`
	Remove       []storeRow `json:"remove"`
}

type rowKey struct{ table, part, key string }

type loggedRow struct {
	row storeRow
	at  time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storeRow
	history []loggedRow
	// trimmed is the newest version that is no longer in the history.
	trimmed uint64
	changed chan struct{}
	blobs   map[string][]byte
	started time.Time
	address string
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), blobs: map[string][]byte{}, started: time.Now(), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /turmericdale/rows-tx", s.transact)
	mux.HandleFunc("GET /turmericdale/rows-get", s.get)
	mux.HandleFunc("GET /turmericdale/rows-parts", s.parts)
	mux.HandleFunc("GET /turmericdale/rows-feed", s.feed)
	mux.HandleFunc("PUT /turmericdale/blob-put/{id...}", s.putBlob)
	mux.HandleFunc("GET /turmericdale/blob-get/{id...}", s.getBlob)
	mux.HandleFunc("DELETE /turmericdale/blob-drop/{id...}", s.dropBlob)
	mux.HandleFunc("GET /turmericdale/blob-list", s.listBlobs)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, truncated bool, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "version_number": version, "now": fmt.Sprintf("%dms", time.Since(s.started).Milliseconds()),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storeRow{}, t.Writes...), t.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	// A transaction takes some milliseconds.
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var have []storeRow
	held := true
	for _, p := range t.Precondition {
		row, found := s.rows[rowKey{p.Table, p.Part, p.Key}]
		if found {
			have = append(have, row)
		}
		if row.Version != p.Version {
			held = false
		}
	}
	if !held {
		s.reply(w, http.StatusPreconditionFailed, have, false, s.version)
		return
	}
	s.apply(t)
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *store) apply(t storeTransaction) {
	s.version++
	now := time.Now()
	for _, row := range t.Writes {
		row.Version, row.Deleted = s.version, false
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
		s.history = append(s.history, loggedRow{row, now})
	}
	for _, row := range t.Remove {
		key := rowKey{row.Table, row.Part, row.Key}
		if _, found := s.rows[key]; !found {
			continue
		}
		delete(s.rows, key)
		row.Version, row.Deleted, row.Value = s.version, true, nil
		s.history = append(s.history, loggedRow{row, now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyDuration {
		s.trimmed = s.history[0].row.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeAsOperator writes a row of the table op and returns when the store has acknowledged it.
func (s *store) writeAsOperator(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := base64.StdEncoding.EncodeToString(value)
	s.apply(storeTransaction{Writes: []storeRow{{Table: "op", Key: key, Value: &text}}})
	return time.Now()
}

// status returns the state that a row of the table status names, or an empty text.
func (s *store) status(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[rowKey{"status", "", key}]
	if !found || row.Value == nil {
		return ""
	}
	text, _ := base64.StdEncoding.DecodeString(*row.Value)
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &status)
	return status.State
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && (q.Get("to") == "" || key.key < q.Get("to")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > limit
	if truncated {
		found = found[:limit]
	}
	s.reply(w, http.StatusOK, found, truncated, s.version)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for key := range s.rows {
		if key.table == q.Get("table") && key.part > q.Get("after") {
			parts[key.part] = true
		}
	}
	list := []string{}
	for p := range parts {
		list = append(list, p)
	}
	sort.Strings(list)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": list, "truncated": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.trimmed || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storeRow
		for _, logged := range s.history {
			if logged.row.Table == q.Get("table") && logged.row.Version > after {
				rows = append(rows, logged.row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) putBlob(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.blobs[r.PathValue("id")]; found && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.blobs[r.PathValue("id")] = data
}

func (s *store) getBlob(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, found := s.blobs[r.PathValue("id")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *store) dropBlob(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blobs, r.PathValue("id"))
}

func (s *store) listBlobs(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.blobs {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	_ = json.NewEncoder(w).Encode(map[string]any{"names": names, "truncated": false})
}
