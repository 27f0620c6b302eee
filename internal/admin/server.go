package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxRequestBytes     = 2 << 20
	maxTokenBytes       = 512
	maxOperationIDBytes = 64
)

// Config configures a Server.
type Config struct {
	// AdminTokenSHA256 is the hash of the administrator's token in hexadecimal, or empty.
	AdminTokenSHA256 string
	Now              func() time.Time
	Log              *oplog.Log
	Verdicts         *move.Verdicts
	TakeBack         func(ctx context.Context, service, reason string) error
	Status           func() *wirepb.NodeStatus
	// IsReady reports whether the node has a configuration, has joined the other nodes and is not stopping.
	IsReady func() bool
	Metrics http.Handler
	// OnInvalidRequest is called for each request without a valid token or with a change that cannot be read.
	OnInvalidRequest func()
}

// Server is the admin API of a node.
type Server struct {
	cfg Config
}

// New returns a Server with the given configuration.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

type authorKey struct{}

// Handler returns the handler of the API, /metrics, /healthz and /readyz.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", s.cfg.Metrics)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.readyz)
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.authenticate)
		r.Post("/settings/changes", s.postChange)
		r.Get("/settings/entry", s.getEntry)
		r.Get("/settings", s.listEntries)
		r.Get("/settings/history", s.getHistory)
		r.Get("/moves", s.listMoves)
		r.Get("/moves/{service}", s.getMove)
		r.Post("/moves/{service}/take-back", s.takeBack)
		r.Get("/status", s.getStatus)
	})
	return r
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// authenticate identifies the author by the request's bearer token; it compares with all hashes, each in constant time.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		author := ""
		if found && len(token) <= maxTokenBytes {
			author = s.authorByToken(token)
		}
		if author == "" {
			s.cfg.OnInvalidRequest()
			writeError(w, &TokenError{})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

func (s *Server) authorByToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	tokenHash := []byte(hex.EncodeToString(sum[:]))
	author := ""
	state := s.cfg.Log.State()
	for _, team := range state.TeamsWithTokens() {
		for _, h := range state.TokenHashes(team) {
			if subtle.ConstantTimeCompare(tokenHash, []byte(strings.ToLower(h))) == 1 {
				author = team
			}
		}
	}
	if subtle.ConstantTimeCompare(tokenHash, []byte(strings.ToLower(s.cfg.AdminTokenSHA256))) == 1 {
		author = tree.Administrator
	}
	return author
}

func authorOf(r *http.Request) string {
	author, _ := r.Context().Value(authorKey{}).(string)
	return author
}

func (s *Server) postChange(w http.ResponseWriter, r *http.Request) {
	request := &wirepb.ChangeRequest{}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = protojson.Unmarshal(body, request)
	}
	if err != nil {
		s.cfg.OnInvalidRequest()
		writeError(w, &InvalidRequestError{Cause: err})
		return
	}
	revision, err := s.submitChange(r.Context(), authorOf(r), request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeMessage(w, http.StatusOK, &wirepb.ChangeReply{Revision: revision})
}

func (s *Server) submitChange(ctx context.Context, author string, request *wirepb.ChangeRequest) (uint64, error) {
	build := func(state *tree.State) (*wirepb.Change, error) {
		return state.NewChange(author, request.GetEdits(), s.cfg.Now())
	}
	if request.GetDryRun() {
		if err := s.cfg.Log.Sync(ctx); err != nil {
			return 0, err
		}
		change, err := build(s.cfg.Log.State())
		return change.GetRevision(), err
	}
	operationID := request.GetOperationId()
	switch {
	case operationID == "":
		operationID = uuid.NewString()
	case len(operationID) > maxOperationIDBytes:
		return 0, &tree.LimitError{Quantity: "bytes of operation_id", Have: len(operationID), Limit: maxOperationIDBytes}
	}
	return s.cfg.Log.Submit(ctx, author+"/"+operationID, build)
}

// requestedState returns the newest accepted state, or with in_force=true the state that this node has applied.
func (s *Server) requestedState(r *http.Request) (*tree.State, error) {
	if r.URL.Query().Get("in_force") != "true" {
		if err := s.cfg.Log.Sync(r.Context()); err != nil {
			return nil, err
		}
	}
	return s.cfg.Log.State(), nil
}

func mayRead(author, path string) bool {
	if author == tree.Administrator {
		return true
	}
	parsed, err := tree.ParsePath(path)
	return err == nil && parsed.Team == author
}

func (s *Server) getEntry(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("path")
	if !mayRead(authorOf(r), path) {
		writeError(w, &tree.AccessError{Path: path, Author: authorOf(r)})
		return
	}
	state, err := s.requestedState(r)
	if err != nil {
		writeError(w, err)
		return
	}
	entry := state.Entry(path)
	if entry == nil {
		writeError(w, &tree.NotFoundError{Path: path})
		return
	}
	writeMessage(w, http.StatusOK, entry)
}

func (s *Server) listEntries(w http.ResponseWriter, r *http.Request) {
	state, err := s.requestedState(r)
	if err != nil {
		writeError(w, err)
		return
	}
	list := &wirepb.EntryList{Revision: state.Revision}
	for _, e := range state.Entries(r.URL.Query().Get("prefix")) {
		if mayRead(authorOf(r), e.GetPath()) {
			list.Entries = append(list.Entries, e)
		}
	}
	writeMessage(w, http.StatusOK, list)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("path")
	if !mayRead(authorOf(r), path) {
		writeError(w, &tree.AccessError{Path: path, Author: authorOf(r)})
		return
	}
	changes, err := s.cfg.Log.History(r.Context(), path)
	if err != nil {
		writeError(w, err)
		return
	}
	writeMessage(w, http.StatusOK, &wirepb.ChangeList{Changes: filterByPath(changes, path)})
}

// filterByPath removes the puts of other paths, which may belong to other teams.
func filterByPath(changes []*wirepb.Change, path string) []*wirepb.Change {
	list := make([]*wirepb.Change, 0, len(changes))
	for _, c := range changes {
		filtered := &wirepb.Change{Revision: c.GetRevision(), Author: c.GetAuthor(), Time: c.GetTime()}
		for _, p := range c.GetPuts() {
			if p.GetPath() == path {
				filtered.Puts = append(filtered.Puts, p)
			}
		}
		list = append(list, filtered)
	}
	return list
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeMessage(w, http.StatusOK, s.cfg.Status())
}
