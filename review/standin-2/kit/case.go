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

// Case is what every case has: its record, the folder of the repository, a temporary folder, and whether the disruption
// takes place.
type Case struct {
	Root, Dir string
	Trouble   bool
	Record    *Record
	broken    int
}

// Main runs a case: it exits with the status that run returns. A case runs for 110 s at the most.
func Main(run func(c *Case) int) {
	root := flag.String("root", ".", "folder of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(start(*root, *record, run))
}

func start(root, path string, run func(c *Case) int) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	r, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	c := &Case{Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", Record: r}
	r.Logf("disruption: %v", c.Trouble)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	status := make(chan int, 1)
	go func() { status <- run(c) }()
	select {
	case s := <-status:
		c.Record.Logf("status %d", s)
		return s
	case <-time.After(110 * time.Second):
		c.Record.Logf("the case took too long")
	case sig := <-interrupts:
		c.Record.Logf("the case was ended: %v", sig)
	}
	killAll()
	return CannotRun
}

// Breakf records that the rule was broken.
func (c *Case) Breakf(format string, args ...any) {
	c.broken++
	c.Record.Logf("RULE BROKEN: "+format, args...)
	fmt.Printf("rule broken: "+format+"\n", args...)
}

// Status returns the exit status of a case that has run to its end.
func (c *Case) Status() int {
	if c.broken > 0 {
		return Broken
	}
	fmt.Println("rule held")
	return Held
}

// Cannot records why the case could not run.
func (c *Case) Cannot(err error) int {
	c.Record.Logf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return CannotRun
}
