// Package catalogue contains the tests that compare the catalogues of events and metrics in docs with
// the source tree and with a running instance.
package catalogue
