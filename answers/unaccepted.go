package answers

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// unaccepted returns how many of the bytes that were written to a connection the other side has not accepted yet, or the failure of
// the connection that nobody has been told of. For connections that the kernel can't tell this of, it returns 0.
func unaccepted(conn net.Conn) (int, error) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return 0, nil
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return 0, nil //nolint:nilerr // nothing can be told
	}
	left, failure := 0, error(nil)
	err = control.Control(func(fd uintptr) {
		if errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && errno != 0 {
			failure = os.NewSyscallError("getsockopt", unix.Errno(errno))
			return
		}
		if waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			left = waiting
		}
	})
	if err != nil {
		// The connection was closed here.
		return 0, err
	}
	return left, failure
}
