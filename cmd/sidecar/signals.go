package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// reloadInterval is the shortest time between two reads of the configuration file, as each opens a call to discovery.
	// SIGHUP that comes meanwhile takes effect at its end.
	reloadInterval = 250 * time.Millisecond
	// maxReloadTries is how often a file is read that is missing or not complete, as while somebody writes it.
	maxReloadTries = 8
)

// ignoredSignals come from the reader of the log, from limits on files and processor time, or from a terminal, and must
// not end or stop the process.
var ignoredSignals = []os.Signal{
	syscall.SIGPIPE, syscall.SIGXFSZ, syscall.SIGXCPU, syscall.SIGTTIN, syscall.SIGTTOU,
}

// signals receives the signals that the process answers. Each kind has a channel of its own, so that many signals of one
// kind displace none of the other.
type signals struct {
	hangup      chan os.Signal // SIGHUP
	termination chan os.Signal // SIGTERM and SIGINT
}

// receiveSignals begins to receive signals. They are received until the process ends, because a signal that arrives
// during the shutdown must not kill it.
func receiveSignals() signals {
	s := signals{hangup: make(chan os.Signal, 1), termination: make(chan os.Signal, 1)}
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Notify(s.termination, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// signalHandler answers signals: SIGHUP reads the configuration again, SIGTERM and SIGINT shut the process down.
type signalHandler struct {
	log      *slog.Logger
	shutdown context.CancelCauseFunc
	reload   func() error

	lastReload time.Time
	triesLeft  int              // reads of the file before the handler gives up; 0 if it is not to be read
	due        <-chan time.Time // fires when the file is to be read; nil if it is not
}

// run answers signals until ctx ends.
func (h *signalHandler) run(ctx context.Context, received signals) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-received.termination:
			h.log.Info("signal", "name", s.String())
			h.shutdown(fmt.Errorf("signal: %v", s))
		case s := <-received.hangup:
			h.log.Info("signal", "name", s.String())
			h.scheduleReload()
		case <-h.due:
			h.tryReload()
		}
	}
}

// scheduleReload arranges that the configuration is read, as soon as the interval between two reads allows.
func (h *signalHandler) scheduleReload() {
	h.triesLeft = maxReloadTries
	if h.due == nil {
		h.due = time.After(time.Until(h.lastReload.Add(reloadInterval)))
	}
}

// tryReload reads the configuration. If that fails, the current one stays in use, and the file is read again a few times.
func (h *signalHandler) tryReload() {
	h.lastReload, h.due = time.Now(), nil
	err := h.reload()
	if err == nil {
		h.triesLeft = 0
		return
	}
	h.log.Error("configuration could not be read after SIGHUP, keeping the current one", "err", err)
	if h.triesLeft--; h.triesLeft > 0 {
		h.due = time.After(reloadInterval)
	}
}
