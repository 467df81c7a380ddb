// Package contain turns a panic while one message is handled into an error, so that it ends one session or one call and not
// the process with all others. It is used where a message comes in: a caller's session, a server's answer, a peer's call, an
// answer of the store.
package contain

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a contained panic.
type PanicError struct {
	Value any
	Stack string // of the goroutine
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("internal error, please report it with its stack: %v", e.Value)
}

// Call calls f and returns its error, or a *PanicError if f panics. What f holds must be released by deferred calls.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	return f()
}
