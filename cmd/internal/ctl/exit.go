package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// Exit codes; rootHelp documents them.
const (
	exitOK          = 0
	exitOther       = 1
	exitUsage       = 2
	exitFaults      = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitNotFound    = 6
	exitAlarm       = 7
)

func usagef(format string, args ...any) error {
	return flagenv.UsageError{Err: errors.Newf(format, args...)}
}

// classify returns the exit code of an error and its kind in the JSON report.
func classify(err error) (code int, kind string) {
	var usage flagenv.UsageError
	var faults manifest.Faults
	var conflict *manifest.ConflictError
	switch {
	case errors.As(err, &usage):
		return exitUsage, "usage"
	case errors.As(err, &faults):
		return exitFaults, "faults"
	case errors.As(err, &conflict), errors.Is(err, objectstore.ErrConflict):
		return exitConflict, "conflict"
	case errors.Is(err, httpstore.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return exitUnavailable, "unavailable"
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrNoAnswer):
		return exitUnavailable, "unavailable"
	case errors.Is(err, errObjectiveAtRisk):
		return exitAlarm, "alarm"
	case errors.Is(err, errInstancesMissing):
		return exitUnavailable, "unavailable"
	case errors.Is(err, objectstore.ErrNotFound):
		return exitNotFound, "not_found"
	}
	return exitOther, "other"
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	ExitCode int             `json:"exitCode"`
	Kind     string          `json:"kind"`
	Message  string          `json:"message"`
	Faults   manifest.Faults `json:"faults,omitempty"`
}

// report writes err to w and returns its exit code.
func report(w io.Writer, err error, asJSON bool) int {
	code, kind := classify(err)
	if !asJSON {
		_, _ = fmt.Fprintln(w, "cyclamenctl: "+err.Error())
		return code
	}
	body := errorBody{ExitCode: code, Kind: kind, Message: err.Error()}
	errors.As(err, &body.Faults)
	_ = writeJSON(w, errorReport{Error: body})
	return code
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the result")
}

// result is the output of a command, which is also encodable as JSON.
type result interface {
	writeText(w io.Writer)
}

func (o *options) print(w io.Writer, r result) error {
	if o.json {
		return writeJSON(w, r)
	}
	r.writeText(w)
	return nil
}
