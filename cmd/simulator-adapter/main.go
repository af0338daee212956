// Command simulator-adapter hosts balancers for the simulator: frames come in on standard input, one reply to each goes
// out on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"pebblelift/balance"
	"pebblelift/internal/settings"
	"pebblelift/internal/simwire"
)

const inputBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*balance.Balancer{}}
	reader := simwire.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	for {
		h.reply.Reset()
		err := reader.Read(h.handle)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// host keeps the instances of this process; they share nothing. A nil one could not start.
type host struct {
	instances map[uint16]*balance.Balancer
	reply     simwire.Reply
}

// handle hands one record to its instance. An instance whose settings are invalid ignores all further events.
func (h *host) handle(clock float64, rec simwire.Record) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fault(rec.Instance, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	switch event := rec.Event.(type) {
	case simwire.InstanceStart:
		h.start(clock, rec.Instance, event)
	case simwire.InstanceDown:
		delete(h.instances, rec.Instance)
	case balance.Event:
		return h.dispatch(clock, rec.Instance, event)
	}
	return nil
}

func (h *host) start(clock float64, instance uint16, event simwire.InstanceStart) {
	cfg, err := settings.ParseConfig(event.Seed, event.Settings)
	if err != nil {
		h.instances[instance] = nil
		h.reply.Fault(instance, err.Error())
		return
	}
	b := balance.New(cfg)
	h.instances[instance] = b
	h.reply.Add(instance, b.Start(clock))
}

func (h *host) dispatch(clock float64, instance uint16, event balance.Event) error {
	b, started := h.instances[instance]
	if !started {
		return fmt.Errorf("event for instance %d, which has not started", instance)
	}
	if b == nil {
		return nil
	}
	actions, err := b.Handle(clock, event)
	if err != nil {
		h.reply.Fault(instance, err.Error())
		return nil
	}
	h.reply.Add(instance, actions)
	return nil
}
