// Package burn drives decision/burn with the statements of an instance: it decides how each one
// counts, serves the report to operators and keeps the metrics up to date.
package burn
