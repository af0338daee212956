// Command sidecar receives the application's HTTP requests and forwards them to the endpoints. The environment
// variable LB_CONFIG holds the path of its configuration file. On SIGHUP the sidecar reads the address of discovery
// from the file again, and on SIGTERM or SIGINT it shuts down gracefully.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pebblelift/internal/boundedlog"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/downstream"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/transient"
)

// configVariable names the environment variable that holds the path of the configuration file.
const configVariable = "LB_CONFIG"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// run runs the sidecar until it is told to shut down.
func run() error {
	// The signal handlers stay registered, because a signal that arrives during the shutdown must not kill the process.
	shutdownCtx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	cfg, err := readConfig()
	if err != nil {
		return err
	}
	applyRuntimeLimits(cfg.Limits)
	log := slog.New(boundedlog.New(slog.NewTextHandler(os.Stderr, nil)))
	var listener net.Listener
	listenConfig := net.ListenConfig{KeepAlive: -1} // no TCP keep-alive, as all waits for clients have deadlines
	err = transient.Listen(func() (err error) {
		listener, err = listenConfig.Listen(context.Background(), "tcp", cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	loop := sidecar.NewLoop(clock.New(), &cfg, log)
	if err := loop.OpenGossip(); err != nil {
		listener.Close()
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go loop.Run(loopCtx)
	go reloadOnHangup(loopCtx, hangup, loop, log)
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	if err := downstream.NewServer(loop, log).Serve(shutdownCtx, listener); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
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

// reloadOnHangup reads the configuration file at each SIGHUP and applies its address of discovery, until ctx ends. If
// the file cannot be read or is invalid, the current address stays in use.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, loop *sidecar.Loop, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		cfg, err := readConfig()
		if err != nil {
			log.Error("configuration could not be read after SIGHUP, keeping the current one", "err", err)
			continue
		}
		loop.SetDiscovery(cfg.Discovery)
	}
}
