// Package city tests the guarantees of the proxies on a hosting platform by simulation. It
// contains tests only. Several kernels, one group whose instances acknowledge commits
// themselves, the store and the platform's promotion API run in one process under
// simulated time.
package city
