package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	ID, Method, Target, Caller string
	Instance, Service          string
	At                         time.Time
	// Cut is when the connection was closed while the server was at work, or zero.
	Cut time.Time
}

// appServer is a stand-in of an application server: it speaks what the pages say of servers.
type appServer struct {
	id, service, zone, address string
	version                    string
	slots                      int
	control                    string
	born                       time.Time
	// bodyOf returns the body of the answer to a request; workOf how long the work takes.
	bodyOf func(r *http.Request, body []byte) []byte
	workOf func(r *http.Request) time.Duration
	// spoil says whether to spoil the answer to a request, onSpoiled is called with the spoiled line; nil spoils none.
	spoil     func(id string) bool
	onSpoiled func(id, line string)

	mu       sync.Mutex
	runs     []run
	running  int
	sequence uint64
	server   *http.Server
	stopBeat context.CancelFunc
}

func (s *appServer) start(listener net.Listener) {
	s.address, s.born = listener.Addr().String(), time.Now()
	s.server = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeat = cancel
	go func() {
		for {
			s.beat("ready")
			select {
			case <-ctx.Done():
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

func (s *appServer) stop() {
	s.stopBeat()
	_ = s.server.Close()
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *appServer) beat(state string) bool {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold_remaining": "0ms", "sequence_number": s.sequence, "born": s.born.UnixMilli(),
	})
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.control+"/turmericdale/instances/"+s.id, strings.NewReader(string(body)))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs = append(s.runs, run{ID: id, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get("X-Caller-Service"), Instance: s.id, Service: s.service, At: time.Now()})
	load, number := s.running, len(s.runs)-1
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if s.workOf != nil {
		select {
		case <-time.After(s.workOf(r)):
		case <-r.Context().Done():
			s.mu.Lock()
			s.runs[number].Cut = time.Now()
			s.mu.Unlock()
			return
		}
	}
	answer := []byte("ok " + id + "\n")
	if s.bodyOf != nil {
		answer = s.bodyOf(r, body)
	}
	if s.spoil != nil && s.spoil(id) {
		if line, ok := s.spoiledAnswer(w, id, answer); ok {
			s.onSpoiled(id, line)
			return
		}
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", load, s.slots))
	w.Header().Set("X-Response-Stamp", stampOf(s.id, id, answer))
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// stampOf returns the signature of an answer.
func stampOf(instance, id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(instance+"\n"+id+"\n"), body...))
	return instance + "." + hex.EncodeToString(sum[:8])
}

// stampIsRight reports whether a stamp is that of a body for a request.
func stampIsRight(stamp, id string, body []byte) bool {
	instance, _, found := strings.Cut(stamp, ".")
	return found && stamp == stampOf(instance, id, body)
}

func (s *appServer) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}
