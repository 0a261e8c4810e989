// Package city simulates the proxies on a hosting platform. Several kernels, one group whose
// instances acknowledge commits themselves, the store and the platform's promotion API run in
// one process under simulated time. The tests of the package inject faults and check the
// guarantees; Experiment measures what callers get under a load.
package city
