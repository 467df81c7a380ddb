//go:build !linux

package engine

import (
	"net"
	"time"
)

// setUserTimeout does nothing: only Linux has the option.
func setUserTimeout(*net.TCPConn, time.Duration) {}
