package kit

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Case is one run of a case.
type Case struct {
	Root    string // the repository's root
	Run     string // the run command of the deploy file
	Dir     string // a temporary folder
	Trouble bool   // false: the same without the disruption
	Record  *Record

	sidecars []*Sidecar
}

// Main runs a case and exits with its exit code.
func Main(limit time.Duration, body func(c *Case) (broken bool, err error)) {
	root := flag.String("root", "", "the repository's root")
	run := flag.String("run", "", "the run command of the deploy file")
	record := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	os.Exit(runCase(*root, *run, *record, limit, body))
}

func runCase(root, run, record string, limit time.Duration, body func(c *Case) (bool, error)) int {
	c := &Case{Run: run, Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.Root, err = filepath.Abs(root); err != nil {
		return notRun(err)
	}
	if c.Record, err = NewRecord(record); err != nil {
		return notRun(err)
	}
	defer c.Record.Close()
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(c.Dir)
	defer c.stopAll()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := body(c)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	select {
	case o := <-done:
		if o.err != nil {
			c.Record.Say("could not run: %v", o.err)
			return NotRun
		}
		if o.broken {
			c.Record.Say("RULE BROKEN")
			return Broken
		}
		c.Record.Say("rule held")
		return Held
	case <-interrupted:
		c.Record.Say("could not run: interrupted")
	case <-time.After(limit):
		c.Record.Say("could not run: longer than %v", limit)
	}
	return NotRun
}

func notRun(err error) int {
	fmt.Println("could not run:", err)
	return NotRun
}

// StartSidecar starts a sidecar, which ends with the case, and waits until it is ready.
func (c *Case) StartSidecar(config map[string]any) (*Sidecar, error) {
	s, err := StartSidecar(c.Root, c.Run, c.Dir, config)
	if err != nil {
		return nil, err
	}
	c.sidecars = append(c.sidecars, s)
	c.Record.Add("started %s at %s, pid %d", s.Name, s.Addr, s.Cmd.Process.Pid)
	return s, s.WaitReady(30 * time.Second)
}

// stopAll kills all sidecars and puts their logs into the record.
func (c *Case) stopAll() {
	for _, s := range c.sidecars {
		s.Stop()
		c.Record.Add("log of %s:\n%s", s.Name, s.Log())
	}
}
