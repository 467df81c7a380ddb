package database

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// preciseTimer is a timer of the kernel, which the runtime's network poller waits for like a socket. Its
// accuracy doesn't depend on how busy the process is. Source: timerfd_create(2).
type preciseTimer struct {
	file *os.File
	fd   int
}

// newPreciseTimer returns nil where the kernel gives no timer.
func newPreciseTimer() *preciseTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil
	}
	return &preciseTimer{file: os.NewFile(uintptr(fd), "timerfd"), fd: fd}
}

// wait returns after d, false if the kernel's timer failed.
func (a *preciseTimer) wait(d time.Duration) bool {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(d))}
	if unix.TimerfdSettime(a.fd, 0, &spec, nil) != nil {
		return false
	}
	var expirations [8]byte
	_, err := a.file.Read(expirations[:])
	return err == nil
}

func (a *preciseTimer) close() {
	_ = a.file.Close()
}
