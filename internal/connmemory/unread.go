package connmemory

import (
	"errors"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Receive buffers of connections. The kernel doubles a size for its own data and keeps about as many bytes that are
// not read.
const (
	clientBufferBytes = 8 << 10
	// operatorBufferBytes lets a configuration of some hundred kilobytes arrive within a second.
	operatorBufferBytes = 16 << 10
	// processBufferBytes is for large messages over links with round trips of up to 16 ms.
	processBufferBytes = 64 << 10
)

// receiveBuffer returns the size of the receive buffer of a connection.
func (p Peer) receiveBuffer() int {
	switch p {
	case PeerClients:
		return clientBufferBytes
	case PeerOperators:
		return operatorBufferBytes
	}
	return processBufferBytes
}

// openBytes returns what an open connection costs. Other processes of the system read what they are sent, so that
// their receive buffers are not counted.
func (p Peer) openBytes() int64 {
	if p == PeerProcesses {
		return connectionBytes
	}
	return connectionBytes + int64(p.receiveBuffer())
}

// BoundUnread bounds the bytes that arrive on connections of a listening socket and are not read: the platform counts
// them as memory of the process. Without a bound the kernel grows the buffer of a connection to megabytes.
func (b *Budget) BoundUnread(kind Peer, socket syscall.Conn) {
	raw, err := socket.SyscallConn()
	if err == nil {
		var optionErr error
		// Connections that are accepted later inherit the option.
		err = raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kind.receiveBuffer())
		})
		err = errors.Join(err, optionErr)
	}
	if err != nil {
		b.logger.Log(eventUnreadNotBounded, zap.Error(err))
	}
}
