// Package apart contains end-to-end tests in which each proxy, each instance stand-in and the
// platform stand-in is a separate process. The tests kill, partition and shut down processes,
// and issue conflicting commands.
package apart
