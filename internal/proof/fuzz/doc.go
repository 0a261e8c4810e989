// Package fuzz proves the promises of the brief. Its test files run several
// kernels in one process under a fake clock, against small fakes of the
// instances, the platform and the callers, and check an oracle after every step.
package fuzz
