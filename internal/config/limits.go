package config

// Limits bound the process; 0 is no bound.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

const (
	// MaxConcurrentRejections is how many connections beyond the bound are rejected at once.
	MaxConcurrentRejections = 16
	reservedDescriptors     = 48 // for discovery, the listener, the runtime and rejections
	healthCheckConnections  = 8  // to endpoints, beside those of requests
	unbounded               = 1 << 20

	bytesPerMB        = 1 << 20
	runtimeMemoryPart = 0.7      // the rest is for the stacks of C and kernel buffers
	readAheadPart     = 1.0 / 32 // of the memory
	// DefaultReadAhead is ReadAheadBytes without a memory limit.
	DefaultReadAhead = 4 << 20
)

// DownstreamConnections is how many connections of clients are open at most: what UpstreamConnections leaves, as
// peers that send nothing hold connections too.
func (l Limits) DownstreamConnections() int {
	if l.Sockets <= 0 {
		return unbounded
	}
	return max(1, l.Sockets-reservedDescriptors-l.UpstreamConnections())
}

// UpstreamConnections is how many connections to endpoints are open at most. Clients use at most a third of the
// descriptors for requests, and a request needs one connection to an endpoint at a time.
func (l Limits) UpstreamConnections() int {
	if l.Sockets <= 0 {
		return unbounded
	}
	return max(1, min(l.Sockets/3+healthCheckConnections, (l.Sockets-reservedDescriptors)/2))
}

// ReadAheadBytes is how much is read of requests behind those being answered, on all connections.
func (l Limits) ReadAheadBytes() int64 {
	if l.MemoryMB <= 0 {
		return DefaultReadAhead
	}
	return int64(readAheadPart * float64(l.MemoryMB) * bytesPerMB)
}

// RuntimeMemory is the soft memory limit of the Go runtime in bytes; 0: none.
func (l Limits) RuntimeMemory() int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	return int64(runtimeMemoryPart * float64(l.MemoryMB) * bytesPerMB)
}

// Processors is how many threads run Go code at once.
func (l Limits) Processors() int { return max(1, int(l.Cores)) }
