package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: rows with transactions and a feed, and objects. It has no faults.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storedRow
	blobs   map[string][]byte
	version uint64
	changed chan struct{}
	started time.Time
}

type rowID struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
	deleted bool
}

type rowBody struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version *uint64 `json:"version_number,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

type rowsBody struct {
	Rows      []rowBody `json:"rows"`
	Truncated bool      `json:"truncated"`
	Version   uint64    `json:"version_number"`
	Now       string    `json:"now"`
}

type transactionBody struct {
	Conditions []rowBody `json:"precondition"`
	Writes     []rowBody `json:"writes"`
	Removes    []rowBody `json:"remove"`
}

func newStore() *store {
	return &store{rows: map[rowID]storedRow{}, blobs: map[string][]byte{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table: table, key: key}] = storedRow{value: data, version: s.version}
	s.wake()
	return nil
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, found := s.rows[rowID{table: table, key: key}]; found && !r.deleted {
		return r.value
	}
	return nil
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /turmericdale/rows-tx", s.transact)
	mux.HandleFunc("GET /turmericdale/rows-get", s.get)
	mux.HandleFunc("GET /turmericdale/rows-feed", s.feed)
	mux.HandleFunc("PUT /turmericdale/blob-put/{id}", s.putBlob)
	mux.HandleFunc("GET /turmericdale/blob-get/{id}", s.getBlob)
	mux.HandleFunc("DELETE /turmericdale/blob-drop/{id}", s.dropBlob)
	return mux
}

func (s *store) body(rows []rowBody) rowsBody {
	if rows == nil {
		rows = []rowBody{}
	}
	return rowsBody{Rows: rows, Version: s.version, Now: fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transactionBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, e := range append(append([]rowBody{}, t.Writes...), t.Removes...) {
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "read only", http.StatusForbidden)
			return
		}
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var current []rowBody
	for _, c := range t.Conditions {
		id := rowID{c.Table, c.Part, c.Key}
		have := s.rows[id]
		version := have.version
		if have.deleted {
			version = 0
		}
		held = held && c.Version != nil && version == *c.Version
		if version > 0 {
			current = append(current, encodeRow(id, have))
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, s.body(current))
		return
	}
	s.version++
	for _, e := range t.Writes {
		value := []byte{}
		if e.Value != nil {
			value, _ = base64.StdEncoding.DecodeString(*e.Value)
		}
		s.rows[rowID{e.Table, e.Part, e.Key}] = storedRow{value: value, version: s.version}
	}
	for _, e := range t.Removes {
		id := rowID{e.Table, e.Part, e.Key}
		if have, found := s.rows[id]; found && !have.deleted {
			s.rows[id] = storedRow{version: s.version, deleted: true}
		}
	}
	s.wake()
	reply(w, http.StatusOK, s.body(nil))
}

func encodeRow(id rowID, r storedRow) rowBody {
	b := rowBody{Table: id.table, Part: id.part, Key: id.key, Version: &r.version, Deleted: r.deleted}
	if !r.deleted {
		text := base64.StdEncoding.EncodeToString(r.value)
		b.Value = &text
	}
	return b
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowBody
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !row.deleted && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, encodeRow(id, row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	body := s.body(rows)
	if len(rows) > limit {
		body.Rows, body.Truncated = rows[:limit], true
	}
	reply(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []rowBody
		for id, row := range s.rows {
			if id.table == q.Get("table") && row.version > after {
				rows = append(rows, encodeRow(id, row))
			}
		}
		changed, body := s.changed, s.body(rows)
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return *rows[i].Version < *rows[j].Version })
		if len(rows) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, body)
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
	id := r.PathValue("id")
	if _, found := s.blobs[id]; found && strings.TrimSpace(r.Header.Get("If-None-Match")) == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.blobs[id] = data
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
