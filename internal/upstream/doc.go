// Package upstream sends attempts to endpoints over pooled HTTP/1.1 connections. Each connection carries one request
// at a time. The package classifies the outcome of each attempt, above all whether the endpoint may have executed the
// request. Package balance decides which endpoint gets an attempt and whether a retry follows.
package upstream
