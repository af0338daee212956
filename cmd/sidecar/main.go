// Command sidecar receives the application's HTTP requests and forwards them to the endpoints. The environment
// variable LB_CONFIG holds the path of its configuration file. On SIGHUP the sidecar reads the address of discovery
// from the file again, and on SIGTERM or SIGINT it shuts down gracefully.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"time"

	"pebblelift/internal/boundedlog"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/downstream"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/sockopt"
	"pebblelift/internal/transient"
)

// configVariable names the environment variable that holds the path of the configuration file.
const configVariable = "LB_CONFIG"

// logCloseTimeout is how long the process waits at its end for the reader of its log.
const logCloseTimeout = 200 * time.Millisecond

func main() {
	signal.Ignore(ignoredSignals...)
	output := boundedlog.NewWriter(os.Stderr)
	err := run(output)
	if err != nil {
		fmt.Fprintln(output, "sidecar:", err)
	}
	output.Close(logCloseTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// run runs the sidecar until it is told to shut down. It writes its log to output.
func run(output io.Writer) error {
	received := receiveSignals()
	cfg, err := readConfig()
	if err != nil {
		return err
	}
	applyRuntimeLimits(cfg.Limits)
	log := slog.New(boundedlog.New(slog.NewTextHandler(output, nil)))
	listener, err := listen(&cfg)
	if err != nil {
		return err
	}
	loop := sidecar.NewLoop(clock.New(), &cfg, log)
	if err := loop.OpenGossip(); err != nil {
		listener.Close()
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	shutdownCtx, shutdown := context.WithCancelCause(context.Background())
	handler := &signalHandler{log: log, shutdown: shutdown, reload: func() error { return reload(loop) }}
	go loop.Run(loopCtx)
	go handler.run(loopCtx, received)
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	if err := downstream.NewServer(loop, log).Serve(shutdownCtx, listener); err != nil {
		return err
	}
	log.Info("stopped", "reason", context.Cause(shutdownCtx))
	return nil
}

// listen opens the listener for clients.
func listen(cfg *config.Config) (listener net.Listener, err error) {
	listenConfig := net.ListenConfig{
		Control:   sockopt.LimitBuffers(cfg.Limits.SocketBufferBytes()),
		KeepAlive: -1, // no TCP keep-alive, as all waits for clients have deadlines
	}
	err = transient.Listen(func() (err error) {
		listener, err = listenConfig.Listen(context.Background(), "tcp", cfg.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	sockopt.LimitBacklog(listener, cfg.Limits.Backlog())
	return listener, nil
}

// applyRuntimeLimits limits the processors and the memory that the Go runtime uses, as the configuration says.
func applyRuntimeLimits(limits config.Limits) {
	runtime.GOMAXPROCS(limits.Processors())
	if bytes := limits.RuntimeMemoryBytes(); bytes > 0 {
		debug.SetMemoryLimit(bytes)
	}
}

// readConfig reads and parses the configuration file.
func readConfig() (config.Config, error) {
	raw, err := os.ReadFile(os.Getenv(configVariable))
	if err != nil {
		return config.Config{}, fmt.Errorf("reading the file that %s names: %w", configVariable, err)
	}
	return config.Parse(raw)
}

// reload reads the configuration file and applies its address of discovery.
func reload(loop *sidecar.Loop) error {
	cfg, err := readConfig()
	if err != nil {
		return err
	}
	loop.SetDiscovery(cfg.Discovery)
	return nil
}
