// Command sidecar is the sidecar: it takes the application's requests and has them served.
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

	"pebblelift/internal/sidecar"
)

// memoryPart of the limit is what the Go runtime keeps to: stacks of C and kernel buffers come on top.
const memoryPart = 0.7

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
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	loop := sidecar.NewLoop(sidecar.NewClock(), &cfg, log)
	if err := loop.OpenGossip(); err != nil {
		ln.Close()
		return err
	}
	alive, end := context.WithCancel(context.Background())
	defer end()
	go loop.Run(alive)
	go reload(alive, hangup, loop, log)
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	if err := sidecar.NewServer(loop, log).Serve(stop, ln); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

func readConfig() (sidecar.Config, error) {
	raw, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		return sidecar.Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return sidecar.ParseConfig(raw)
}

// reload reads the configuration again at each SIGHUP until ctx ends. What cannot be read changes nothing.
func reload(ctx context.Context, hangup <-chan os.Signal, loop *sidecar.Loop, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		if cfg, err := readConfig(); err != nil {
			log.Error("the new configuration is not taken", "err", err)
		} else {
			loop.Reload(&cfg)
		}
	}
}
