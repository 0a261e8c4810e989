// Package whole tests and measures a whole proxy in one process: callers with
// the drivers pgx and lib/pq before it, the stand-ins of the platform and of
// the instances behind it.
package whole
