//go:build !linux

package engine

import (
	"net"
	"time"
)

// setUserTimeout does nothing; only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(*net.TCPConn, time.Duration) {}
