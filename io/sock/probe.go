// Package sock examines TCP connections without reading from them, and closes them
// without a loss of what was sent.
package sock

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// Idle means that no byte is unread and the peer has not closed the connection.
	Idle State = iota
	// Data means that bytes are unread.
	Data
	// Ended means that the peer has closed or reset the connection, or that it is closed
	// on this side, and that no byte is unread.
	Ended
)

type (
	// State is the state of the receiving side of a connection.
	State uint8

	// Probe examines one connection. The zero value always returns Idle.
	Probe struct {
		raw syscall.RawConn
	}
)

// NewProbe returns the probe of a connection; for a connection without a file
// descriptor it returns the zero value.
func NewProbe(c net.Conn) Probe {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Probe{}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Probe{}
	}
	return Probe{raw: raw}
}

// Peek returns the present state without waiting.
func (p Probe) Peek() State {
	if p.raw == nil {
		return Idle
	}
	state := Ended
	// Control, unlike Read, does not wait for a Read of the connection that is in progress.
	err := p.raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil && state != Data {
		return Ended
	}
	return state
}

// Acknowledged reports whether the peer has acknowledged everything that was sent,
// including the close of the sending side. It is true if that is unknown.
func (p Probe) Acknowledged() bool {
	if p.raw == nil {
		return true
	}
	acknowledged := true
	err := p.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		acknowledged = err != nil || n == 0
	})
	return err != nil || acknowledged
}

// peek returns the state of a socket.
func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err == nil && n > 0:
		return Data
	}
	return Ended
}
