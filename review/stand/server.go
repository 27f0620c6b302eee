package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots       = 12
	heartbeatInterval = 1500 * time.Millisecond
)

// server is a stand-in of an application server. It serves one request at a time on a connection, runs each request for the
// time in the header X-Work-Ms and answers with a stamp that tells the request's id, the length and the digest of the body.
type server struct {
	id, service, zone, address string
	// version is the version of the server's software; empty means v1.
	version string
	// failShare is the share of the requests that it answers with status 500 after it ran them.
	failShare float64
	// control is where heartbeats go.
	control string
	born    int64
	record  *record
	// beforeAnswer, if set, returns bytes that are sent on the connection before the answer to a request.
	beforeAnswer func(connection int64, served int) []byte
	// onArrival, if set, is called when a request begins to run, onAnswer when its answer was sent.
	onArrival func(request *http.Request)
	onAnswer  func(good bool)

	listener    net.Listener
	connections atomic.Int64
	sequence    atomic.Int64
	slots       chan struct{}
	mu          sync.Mutex
	stopBeats   chan struct{}
	beatsDone   chan struct{}
}

// start listens and begins to send heartbeats.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.slots = listener, make(chan struct{}, serverSlots)
	s.born = time.Now().UnixMilli()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn, s.connections.Add(1))
		}
	}()
	s.stopBeats, s.beatsDone = make(chan struct{}), make(chan struct{})
	go s.beatLoop()
	return nil
}

func (s *server) beatLoop() {
	defer close(s.beatsDone)
	for {
		_ = sendBeat(s.control, s.id, s.beat("ready"))
		select {
		case <-s.stopBeats:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat returns the body of the next heartbeat.
func (s *server) beat(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.softwareVersion(), "slots": serverSlots, "state": state,
		"cold_remaining": "0ms", "sequence_number": s.sequence.Add(1), "born": s.born,
	}
}

func (s *server) softwareVersion() string {
	if s.version == "" {
		return "v1"
	}
	return s.version
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// sendBeat sends a heartbeat to a node.
func sendBeat(control, id string, beat map[string]any) error {
	body, err := json.Marshal(beat)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/turmericdale/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	return expectOK(beatClient.Do(request))
}

// drain reports that the server is draining, and goes on to report it.
func (s *server) drain() {
	close(s.stopBeats)
	<-s.beatsDone
	_ = sendBeat(s.control, s.id, s.beat("draining"))
}

// leave sends the DELETE of a server that never reports draining, until a node acknowledges it.
func (s *server) leave() error {
	close(s.stopBeats)
	<-s.beatsDone
	var err error
	for range 5 {
		request, _ := http.NewRequest(http.MethodDelete, "http://"+s.control+"/turmericdale/instances/"+s.id, nil)
		if err = expectOK(beatClient.Do(request)); err == nil {
			return nil
		}
	}
	return err
}

func expectOK(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (s *server) stop() { _ = s.listener.Close() }

func (s *server) serveConn(conn net.Conn, number int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if !s.serve(conn, number, served, request, body) {
			return
		}
	}
}

// serve runs one request and reports whether the connection stays open.
func (s *server) serve(conn net.Conn, number int64, served int, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return err == nil
	}
	select {
	case s.slots <- struct{}{}:
	case <-time.After(time.Second):
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer func() { <-s.slots }()
	s.record.add("run", "server", s.id, "id", id, "bytes", len(body))
	if s.onArrival != nil {
		s.onArrival(request)
	}
	work, _ := strconv.Atoi(request.Header.Get("X-Work-Ms"))
	time.Sleep(time.Duration(work) * time.Millisecond)
	if s.beforeAnswer != nil {
		if extra := s.beforeAnswer(number, served); extra != nil {
			s.record.add("extra", "server", s.id, "connection", number, "bytes", len(extra))
			if _, err := conn.Write(extra); err != nil {
				return false
			}
		}
	}
	answer := answerBody(s.id, id)
	status := "200 OK"
	if rand.Float64() < s.failShare {
		status = "500 Internal Server Error"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nX-Server-Load: 1,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, id, stamp(id, answer), serverSlots, len(answer), answer)
	s.record.add("ran", "server", s.id, "id", id, "status", status[:3], "sent", err == nil)
	if s.onAnswer != nil {
		s.onAnswer(status[:3] == "200")
	}
	return err == nil
}

func answerBody(server, id string) []byte {
	return []byte(server + " answers " + id + "\n")
}

// stamp returns the value of X-Response-Stamp for a body.
func stamp(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return strconv.Itoa(len(body)) + "." + hex.EncodeToString(sum[:8])
}
