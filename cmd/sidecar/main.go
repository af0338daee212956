// Command sidecar takes the application's requests and has them served by the endpoints. Its configuration is the file
// that LB_CONFIG names; SIGHUP makes it read the address of discovery again, and SIGTERM ends it gracefully.
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

	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/downstream"
	"pebblelift/internal/sidecar"
)

// configVariable names the environment variable that holds the path of the configuration file.
const configVariable = "LB_CONFIG"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	// Neither is given back: a signal that comes as the process ends must not end it otherwise.
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	cfg, err := readConfig()
	if err != nil {
		return err
	}
	limitRuntime(cfg.Limits)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	loop := sidecar.NewLoop(clock.New(), &cfg, log)
	if err := loop.OpenGossip(); err != nil {
		listener.Close()
		return err
	}
	alive, end := context.WithCancel(context.Background())
	defer end()
	go loop.Run(alive)
	go reloadOnHangup(alive, hangup, loop, log)
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	if err := downstream.NewServer(loop, log).Serve(stop, listener); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

func limitRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(limits.Processors())
	if bytes := limits.RuntimeMemory(); bytes > 0 {
		debug.SetMemoryLimit(bytes)
	}
}

func readConfig() (config.Config, error) {
	raw, err := os.ReadFile(os.Getenv(configVariable))
	if err != nil {
		return config.Config{}, fmt.Errorf("%s: %w", configVariable, err)
	}
	return config.Parse(raw)
}

// reloadOnHangup reads the configuration again at each SIGHUP until ctx ends. One that cannot be read changes nothing.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, loop *sidecar.Loop, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		cfg, err := readConfig()
		if err != nil {
			log.Error("the new configuration is not taken", "err", err)
			continue
		}
		loop.SetDiscovery(cfg.Discovery)
	}
}
