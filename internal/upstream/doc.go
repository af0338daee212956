// Package upstream carries attempts to the endpoints: connection pools, one HTTP/1.1 exchange at a time on each
// connection, and what its end proves. It decides nothing: which endpoint gets an attempt, and what follows it, is
// decided in package balance.
package upstream
