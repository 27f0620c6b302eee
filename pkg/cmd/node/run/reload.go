package run

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/conf"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// reloader applies changes of the settings file to a running node.
type reloader struct {
	file    string
	text    []byte
	current *conf.Settings
	logger  *zap.Logger
}

func newReloader(file string, current *conf.Settings, logger *zap.Logger) *reloader {
	r := &reloader{file: file, current: current, logger: logger}
	if text, err := os.ReadFile(file); err == nil {
		r.text = text
	}
	return r
}

// run looks at the settings file at every SIGHUP and now and then, until the context ends.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.logger.Info("reload asked for", zap.String("file", r.file))
		case <-ticker.C:
		}
		r.look()
	}
}

// look takes a changed file over; one that cannot be read or is not allowed leaves the settings as they are.
func (r *reloader) look() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.logger.Warn("settings not read", zap.String("file", r.file), zap.Error(err))
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	next, err := conf.Parse(r.file, text)
	if err != nil {
		r.logger.Warn("settings refused, the earlier ones stay in force", zap.Error(err))
		return
	}
	apply(next)
	r.logger.Info("settings reloaded", zap.Bool("restart_needed", r.needsRestart(next)))
	r.current = next
}

// apply sets what a running process can change.
func apply(settings *conf.Settings) {
	runtime.GOMAXPROCS(settings.Processors)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes)
	}
}

// needsRestart reports whether something changed that holds from the next start only.
func (r *reloader) needsRestart(next *conf.Settings) bool {
	same := *next
	same.Processors, same.MemoryBytes = r.current.Processors, r.current.MemoryBytes
	return !same.Equal(r.current)
}
