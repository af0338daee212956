package config

// Limits holds the resource limits of the sidecar's process. A MemoryMB or Sockets of 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`     // number of CPU cores that the process may use
	MemoryMB int     `json:"memory_mb"` // memory that the process may use, in MiB
	Sockets  int     `json:"sockets"`   // number of file descriptors that the process may have open
}

const (
	// MaxConcurrentRejections is the maximum number of client connections beyond DownstreamConnections that are
	// rejected at the same time.
	MaxConcurrentRejections = 16
	// reservedDescriptors is the number of file descriptors reserved for discovery, the listener, the Go runtime and
	// client connections that are being rejected.
	reservedDescriptors = 48
	// healthCheckConnections is the number of connections to endpoints for health checks, in addition to those for
	// requests.
	healthCheckConnections = 8
	// unlimitedConnections is the maximum number of connections if file descriptors are not limited.
	unlimitedConnections = 1 << 20

	// bytesPerMB is the number of bytes in one megabyte (MiB) of the memory limit.
	bytesPerMB = 1 << 20
	// runtimeMemoryFraction is the fraction of the memory limit that the Go runtime may use. The rest is for the
	// program itself, the stacks of C code and kernel buffers.
	runtimeMemoryFraction = 0.7
	// programBytes is the memory that is not the Go runtime's: the pages of the program and of the C library.
	programBytes = 11 << 20
	// restBytes is the memory of a process that holds nothing for its peers.
	restBytes = 14 << 20
	// bufferFraction is the fraction of the memory above restBytes that may be held for peers. The Go runtime needs as
	// much again until it collects what is no longer used.
	bufferFraction = 1.0 / 3
	// socketFraction is the fraction of the memory limit that the kernel's buffers of sockets may take. A memory limit of
	// the kernel counts them.
	socketFraction = 1.0 / 6
	// minSocketBuffer and maxSocketBuffer bound the size in bytes of a buffer of a socket. Small buffers cost processor
	// time, larger ones bring nothing.
	minSocketBuffer = 4 << 10
	maxSocketBuffer = 64 << 10
	// backlogPerDescriptor is how many connections may wait to be accepted for each descriptor of the process.
	backlogPerDescriptor = 2
	// buffersPerConnection is how many buffers a connection has, each with as much again for the overhead of the kernel.
	buffersPerConnection = 4
	// executionLogEntriesPerMB and maxExecutionLogEntries bound the requests that are remembered because they must not
	// run again. An entry takes some 50 bytes.
	executionLogEntriesPerMB = 256
	maxExecutionLogEntries   = 1 << 16
	// minBufferBytes is the least memory that is held for peers, whatever the limit.
	minBufferBytes = 2 << 20
)

// DownstreamConnections returns the maximum number of open client connections. Clients get all file descriptors that
// are neither reserved nor counted by UpstreamConnections, because clients that send nothing hold connections too.
func (l Limits) DownstreamConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, l.Sockets-reservedDescriptors-l.UpstreamConnections())
}

// UpstreamConnections returns the maximum number of open connections to endpoints. Clients send requests on at most a
// third of the file descriptors, and each request needs one connection to an endpoint at a time.
func (l Limits) UpstreamConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, min(l.Sockets/3+healthCheckConnections, (l.Sockets-reservedDescriptors)/2))
}

// BufferBytes returns how much memory in bytes may be held for all peers together: connections, messages, requests and
// responses. The result is 0 for no limit.
func (l Limits) BufferBytes() int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	available := float64(l.MemoryMB)*bytesPerMB - restBytes
	return max(minBufferBytes, int64(bufferFraction*available))
}

// SocketBufferBytes returns the size in bytes of each receive and send buffer of a connection, or 0 for no limit.
func (l Limits) SocketBufferBytes() int {
	if l.MemoryMB <= 0 || l.Sockets <= 0 {
		return 0
	}
	connections := float64(l.DownstreamConnections() + l.UpstreamConnections())
	buffer := socketFraction * float64(l.MemoryMB) * bytesPerMB / connections / buffersPerConnection
	return int(min(max(buffer, minSocketBuffer), maxSocketBuffer))
}

// Backlog returns how many connections of clients may wait until they are accepted, or 0 for no limit. While the queue is
// full, the system answers nobody for a second or more.
func (l Limits) Backlog() int { return backlogPerDescriptor * l.Sockets }

// ExecutionLogEntries returns how many requests that may have run are remembered, so that they do not run again.
func (l Limits) ExecutionLogEntries() int {
	if l.MemoryMB <= 0 {
		return maxExecutionLogEntries
	}
	return min(maxExecutionLogEntries, executionLogEntriesPerMB*l.MemoryMB)
}

// RuntimeMemoryBytes returns the soft memory limit of the Go runtime in bytes, or 0 for no limit.
func (l Limits) RuntimeMemoryBytes() int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	limit := float64(l.MemoryMB) * bytesPerMB
	return int64(max(limit/2, min(runtimeMemoryFraction*limit, limit-programBytes)))
}

// Processors returns the number of threads that may run Go code at the same time (GOMAXPROCS).
func (l Limits) Processors() int { return max(1, int(l.Cores)) }
