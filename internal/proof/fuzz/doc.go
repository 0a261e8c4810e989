// Package fuzz tests the promises P1 to P11 of the proxy by deterministic
// simulation. The tests run several kernels in one process on a fake clock,
// against fakes of the instances, the platform and the callers, and check an
// oracle after every step.
package fuzz
