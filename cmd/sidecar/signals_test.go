package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a new address of discovery that is never learned because the file was not complete when SIGHUP came, and
// against a file that is read at each of many signals.
func TestReloadTriesAgainAndIsBounded(t *testing.T) {
	reads := make(chan time.Time, 1000)
	failures := 2
	handler := signalHandler{
		log:      slog.New(slog.DiscardHandler),
		shutdown: func(error) {},
		reload: func() error {
			reads <- time.Now()
			if failures--; failures >= 0 {
				return errors.New("file not complete")
			}
			return nil
		},
	}
	received := signals{hangup: make(chan os.Signal), termination: make(chan os.Signal)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go handler.run(ctx, received)
	for range 200 {
		received.hangup <- syscall.SIGHUP
	}
	var last time.Time
	for i := range 3 { // two that fail and one that succeeds
		read := <-reads
		if i > 0 && read.Sub(last) < reloadInterval {
			t.Errorf("read %d came %v after the one before, want at least %v", i, read.Sub(last), reloadInterval)
		}
		last = read
	}
	received.hangup <- syscall.SIGHUP
	<-reads
}
