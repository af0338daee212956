// Command simulator-adapter runs balancers for the simulator. It reads frames of events from standard input and writes
// one reply, with the balancers' actions, to standard output for each frame.
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

const inputBufferSize = 1 << 16 // bytes that are buffered from standard input

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run replies to each frame until the end of the input. It returns an error for a malformed frame, for an event of an
// instance that has not been started, and if reading or writing fails.
func run(in io.Reader, out io.Writer) error {
	h := balancerHost{instances: map[uint16]*balance.Balancer{}}
	reader := simwire.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	for {
		h.reply.Reset()
		err := reader.Read(h.handleRecord)
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

// balancerHost holds the balancers of this process. They are independent of each other.
type balancerHost struct {
	instances map[uint16]*balance.Balancer // by instance number; nil if the settings of the instance were invalid
	reply     simwire.Reply                // the reply to the current frame
}

// handleRecord starts or stops an instance, or passes an event to its balancer. A panic becomes a fault message. clock
// is the time of the frame in ms.
func (h *balancerHost) handleRecord(clock float64, rec simwire.Record) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.AddFault(rec.Instance, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	switch event := rec.Event.(type) {
	case simwire.InstanceStart:
		h.startInstance(clock, rec.Instance, event)
	case simwire.InstanceDown:
		delete(h.instances, rec.Instance)
	case balance.Event:
		return h.handleEvent(clock, rec.Instance, event)
	}
	return nil
}

// startInstance starts a balancer for an instance. It reports invalid settings as a fault.
func (h *balancerHost) startInstance(clock float64, instance uint16, event simwire.InstanceStart) {
	cfg, err := settings.ParseConfig(event.Seed, event.Settings)
	if err != nil {
		h.instances[instance] = nil
		h.reply.AddFault(instance, err.Error())
		return
	}
	b := balance.New(cfg)
	h.instances[instance] = b
	h.reply.Add(instance, b.Start(clock))
}

// handleEvent passes an event to the balancer of an instance and adds the actions, or a fault, to the reply. It ignores
// events for an instance whose settings were invalid, and returns an error for one that has not been started.
func (h *balancerHost) handleEvent(clock float64, instance uint16, event balance.Event) error {
	b, started := h.instances[instance]
	if !started {
		return fmt.Errorf("event for instance %d, which has not been started", instance)
	}
	if b == nil {
		return nil
	}
	actions, err := b.Handle(clock, event)
	if err != nil {
		h.reply.AddFault(instance, err.Error())
		return nil
	}
	h.reply.Add(instance, actions)
	return nil
}
