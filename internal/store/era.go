package store

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/platform"
)

// eraState is the newest era of the store that a client has seen. The era increases each time the store comes back from an older copy.
type eraState struct {
	mu    sync.Mutex
	era   uint64
	named bool
	// malformedLogged says that a malformed era was logged, which is done once.
	malformedLogged bool
	listeners       []func(era uint64)
}

// Era returns the newest era that the store has named, or 0.
func (c *Client) Era() uint64 {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.era
}

// NamesEra reports whether the store has named its era in a response.
func (c *Client) NamesEra() bool {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.named
}

// OnEra registers a function that is called with each era that is newer than those before, before the first response of that era is
// returned. It must not wait for the store.
func (c *Client) OnEra(listener func(era uint64)) {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	c.eras.listeners = append(c.eras.listeners, listener)
}

// checkEra returns the era of a response; it returns *OlderEraError for one that is older than the newest.
func (c *Client) checkEra(response *http.Response) (uint64, error) {
	era, named, err := platform.StoreEra(response.Header)
	c.eras.mu.Lock()
	newest := c.eras.era
	var listeners []func(era uint64)
	switch {
	case err != nil:
		c.Counters.MalformedEras.Add(1)
		if !c.eras.malformedLogged {
			c.logger.Warn("malformed era of the platform's store ignored", zap.Error(err))
		}
		c.eras.malformedLogged = true
		era = newest
	case !named && response.StatusCode >= http.StatusInternalServerError:
		// A proxy in front of the store answers for it while it is down.
		era = newest
	case era > newest:
		c.eras.era, c.eras.named, listeners = era, true, c.eras.listeners
	default:
		c.eras.named = c.eras.named || named
	}
	c.eras.mu.Unlock()
	if era < newest {
		c.Counters.OlderEras.Add(1)
		return era, &OlderEraError{Era: era, Newest: newest}
	}
	if era > newest {
		c.logger.Info("store is in a new era: it came back from an older copy", zap.Uint64("era", era), zap.Uint64("previous", newest))
	}
	for _, l := range listeners {
		l(era)
	}
	return era, nil
}

// IsOtherEra reports whether an error says that an operation met another era of the store than it was meant for.
func IsOtherEra(err error) bool {
	var older *OlderEraError
	var changed *EraChangedError
	return errors.As(err, &older) || errors.As(err, &changed)
}
