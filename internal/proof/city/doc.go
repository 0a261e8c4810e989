// Package city proves the promises of a proxy on a hosting platform: several
// kernels, one group whose instances acknowledge commits themselves, a store and
// promotions that the platform carries out, all in one simulated time.
package city
