// Package check searches every history of one small group for a broken promise.
// Its test files let the product's own rules decide what is acknowledged and
// what may be shown.
package check
