// Package burn feeds decision/burn with the statements of an instance: it classifies each statement,
// serves the report to operators and updates the metrics.
package burn
