package passthrough

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dropCause says why an idle connection is not used again.
type dropCause string

const (
	// droppedClosed: the target has closed the connection.
	droppedClosed dropCause = "closed"
	// droppedUnsolicited: the target has sent something after the last answer.
	droppedUnsolicited dropCause = "unsolicited"
	// droppedIdle: the connection was idle for too long.
	droppedIdle dropCause = "idle"
)

// inspect returns why an idle connection must not be used again, or "" if it may be used, and the
// time since the kernel received the last bytes from the target. It consumes nothing.
func inspect(conn net.Conn) (dropCause, time.Duration) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return "", 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return droppedClosed, 0
	}
	var cause dropCause
	var quiet time.Duration
	err = raw.Control(func(fd uintptr) {
		cause = peek(int(fd))
		quiet = sinceLastData(int(fd))
	})
	if err != nil {
		return droppedClosed, 0
	}
	return cause, quiet
}

// peek looks for bytes or the end of the stream in the receive buffer of a socket.
func peek(fd int) dropCause {
	var next [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return ""
		case err != nil || n == 0:
			return droppedClosed
		}
		return droppedUnsolicited
	}
}

// sinceLastData returns the time since the last bytes arrived at a socket, 0 if unknown. On a slow
// host, or if a slow caller delays an answer, this may be long before the bytes are read.
func sinceLastData(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
