package database

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// preciseTimer is a kernel timer (see timerfd_create(2)), for which the runtime's network poller waits as
// for a socket. Its accuracy doesn't depend on the load of the process.
type preciseTimer struct {
	file *os.File
	fd   int
}

// newPreciseTimer returns nil if the kernel provides no timer.
func newPreciseTimer() *preciseTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil
	}
	return &preciseTimer{file: os.NewFile(uintptr(fd), "timerfd"), fd: fd}
}

// wait sleeps for d. It returns false if the kernel timer failed.
func (t *preciseTimer) wait(d time.Duration) bool {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(d))}
	if unix.TimerfdSettime(t.fd, 0, &spec, nil) != nil {
		return false
	}
	var expirations [8]byte
	_, err := t.file.Read(expirations[:])
	return err == nil
}

func (t *preciseTimer) close() {
	_ = t.file.Close()
}
