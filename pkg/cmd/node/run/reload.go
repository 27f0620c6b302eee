package run

import (
	"bytes"
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/hangup"
)

// reloadInterval is the interval between checks of the settings file, which may change without a SIGHUP.
const reloadInterval = 2 * time.Second

// reloader applies changes of the settings file to a running node.
type reloader struct {
	file string
	// lastText is the text that was last read, valid or not, so that an invalid text is logged only once.
	lastText []byte
	current  *conf.Settings
	// machineMemory is the memory of the machine in bytes, or 0 if it is not known.
	machineMemory int64
	logger        *zap.Logger
}

func newReloader(file string, current *conf.Settings, machineMemory int64, logger *zap.Logger) *reloader {
	r := &reloader{file: file, current: current, machineMemory: machineMemory, logger: logger}
	if text, err := os.ReadFile(file); err == nil {
		r.lastText = text
	}
	return r
}

// reloadLoop checks the settings file at every SIGHUP and every reloadInterval until the context ends.
func (r *reloader) reloadLoop(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Received():
			r.logger.Info("reload requested by SIGHUP", zap.String("file", r.file))
		case <-ticker.C:
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged applies a changed settings file; if it is unreadable or invalid, the current settings stay.
func (r *reloader) reloadIfChanged() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.logger.Warn("could not read settings file", zap.String("file", r.file), zap.Error(err))
		return
	}
	if bytes.Equal(text, r.lastText) {
		return
	}
	r.lastText = text
	next, err := conf.Parse(r.file, text)
	if err != nil {
		r.logger.Warn("settings file is invalid, keeping the current settings", zap.Error(err))
		return
	}
	applyRuntimeLimits(next.WithMachineMemory(r.machineMemory))
	r.logger.Info("settings reloaded", zap.Bool("restart_needed", r.needsRestart(next)))
	r.current = next
}

// applyRuntimeLimits applies the settings that can change without a restart.
func applyRuntimeLimits(settings *conf.Settings) {
	runtime.GOMAXPROCS(settings.Processors)
	if limit := settings.SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// needsRestart reports whether a setting changed that takes effect only at the next start.
func (r *reloader) needsRestart(next *conf.Settings) bool {
	restartOnly := *next
	restartOnly.Processors, restartOnly.MemoryBytes = r.current.Processors, r.current.MemoryBytes
	return !restartOnly.Equal(r.current)
}
