// Package check model-checks small groups: it visits every reachable state and looks for a
// violated guarantee. It contains tests only. The product's own code decides which entries
// are acknowledged, which data a read may return and which instance is promoted. Variants
// with a weaker rule check that the search finds the violation.
package check
