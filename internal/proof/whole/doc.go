// Package whole tests and benchmarks a complete proxy in one process: callers use the drivers
// pgx and lib/pq, and stand-ins replace the platform and the instances.
package whole
