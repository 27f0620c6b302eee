package admin

import (
	"net/http"
	"sort"

	"github.com/go-chi/chi/v5"

	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func mayAccessMove(author string, service *tree.Service) bool {
	return author == tree.Administrator || author == service.Team
}

func (s *Server) listMoves(w http.ResponseWriter, r *http.Request) {
	list := &wirepb.MoveList{}
	for _, service := range s.cfg.Log.State().Services {
		if service.MoveRecord != nil && mayAccessMove(authorOf(r), service) {
			list.Moves = append(list.Moves, s.cfg.Verdicts.EffectiveRecord(service.MoveRecord, s.cfg.Now()))
		}
	}
	sort.Slice(list.Moves, func(i, j int) bool { return list.Moves[i].GetService() < list.Moves[j].GetService() })
	writeMessage(w, http.StatusOK, list)
}

// requestedService returns the service named in the request's path; it returns *move.NotFoundError if the service has no move
// and *tree.AccessError if the author may not access it.
func (s *Server) requestedService(r *http.Request) (*tree.Service, error) {
	name := chi.URLParam(r, "service")
	service, found := s.cfg.Log.State().Services[name]
	if !found || service.MoveRecord == nil {
		return nil, &move.NotFoundError{Service: name}
	}
	if !mayAccessMove(authorOf(r), service) {
		return nil, &tree.AccessError{Path: tree.MoveRecordPath(name), Author: authorOf(r)}
	}
	return service, nil
}

func (s *Server) getMove(w http.ResponseWriter, r *http.Request) {
	service, err := s.requestedService(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeMessage(w, http.StatusOK, s.cfg.Verdicts.EffectiveRecord(service.MoveRecord, s.cfg.Now()))
}

func (s *Server) takeBack(w http.ResponseWriter, r *http.Request) {
	service, err := s.requestedService(r)
	if err == nil {
		err = s.cfg.TakeBack(r.Context(), service.Name, "taken back by "+authorOf(r))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if updated, found := s.cfg.Log.State().Services[service.Name]; found {
		service = updated
	}
	writeMessage(w, http.StatusOK, s.cfg.Verdicts.EffectiveRecord(service.MoveRecord, s.cfg.Now()))
}
