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
	maxRequestBytes = 2 << 20
	maxTokenBytes   = 512
	maxOperationID  = 64
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
	// IsReady reports whether this node runs an accepted configuration and is not stopping.
	IsReady func() bool
	Metrics http.Handler
	// OnInvalidRequest is called for each request that is refused for its form or its token.
	OnInvalidRequest func()
}

// Server is the admin API of a node.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

type authorKey struct{}

// Handler serves the API, /metrics, /healthz and /readyz.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", s.cfg.Metrics)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.readyz)
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.authenticate)
		r.Post("/settings/changes", s.change)
		r.Get("/settings/entry", s.entry)
		r.Get("/settings", s.list)
		r.Get("/settings/history", s.history)
		r.Get("/moves", s.moves)
		r.Get("/moves/{service}", s.viewMove)
		r.Post("/moves/{service}/take-back", s.takeBack)
		r.Get("/status", s.status)
	})
	return r
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// authenticate finds the author whose token a request carries; all hashes are compared in constant time.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		author := ""
		if found && len(token) <= maxTokenBytes {
			author = s.authorOf(token)
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

func (s *Server) authorOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	given := []byte(hex.EncodeToString(sum[:]))
	author := ""
	state := s.cfg.Log.State()
	for _, team := range state.TeamsWithTokens() {
		for _, h := range state.TokenHashes(team) {
			if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(h))) == 1 {
				author = team
			}
		}
	}
	if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(s.cfg.AdminTokenSHA256))) == 1 {
		author = tree.Administrator
	}
	return author
}

func authorOf(r *http.Request) string {
	author, _ := r.Context().Value(authorKey{}).(string)
	return author
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
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
	revision, err := s.accept(r.Context(), authorOf(r), request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeMessage(w, http.StatusOK, &wirepb.ChangeReply{Revision: revision})
}

func (s *Server) accept(ctx context.Context, author string, request *wirepb.ChangeRequest) (uint64, error) {
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
	operation := request.GetOperationId()
	switch {
	case operation == "":
		operation = uuid.NewString()
	case len(operation) > maxOperationID:
		return 0, &tree.LimitError{Quantity: "bytes of operation_id", Have: len(operation), Limit: maxOperationID}
	}
	return s.cfg.Log.Submit(ctx, author+"/"+operation, build)
}

// state returns the newest accepted state, or with in_force the one that this node runs.
func (s *Server) state(r *http.Request) (*tree.State, error) {
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

func (s *Server) entry(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("path")
	if !mayRead(authorOf(r), path) {
		writeError(w, &tree.AccessError{Path: path, Author: authorOf(r)})
		return
	}
	state, err := s.state(r)
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

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	state, err := s.state(r)
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

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
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
	writeMessage(w, http.StatusOK, &wirepb.ChangeList{Changes: onlyPath(changes, path)})
}

// onlyPath leaves out the puts of other paths, which may belong to other teams.
func onlyPath(changes []*wirepb.Change, path string) []*wirepb.Change {
	list := make([]*wirepb.Change, 0, len(changes))
	for _, c := range changes {
		shown := &wirepb.Change{Revision: c.GetRevision(), Author: c.GetAuthor(), Time: c.GetTime()}
		for _, p := range c.GetPuts() {
			if p.GetPath() == path {
				shown.Puts = append(shown.Puts, p)
			}
		}
		list = append(list, shown)
	}
	return list
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeMessage(w, http.StatusOK, s.cfg.Status())
}
