package soak

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The socket that dialed is found among the open files of its process, this one.
func TestInodeOfAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	table, err := os.ReadFile(socketTable)
	if err != nil {
		t.Fatal(err)
	}
	inode, found := inodeOf(table, accepted.RemoteAddr(), accepted.LocalAddr()), false
	files, _ := filepath.Glob("/proc/self/fd/*")
	for _, file := range files {
		target, _ := os.Readlink(file)
		found = found || target == "socket:["+inode+"]"
	}
	if inode == "" || !found {
		t.Errorf("inodeOf() = %q, want a socket of this process", inode)
	}
	if got := inodeOf(table, listener.Addr(), accepted.RemoteAddr()); got == inode {
		t.Errorf("inodeOf() of the other end = %q, want another socket", got)
	}
}

// A cut holds the connections of one process, refuses them or resets them, and leaves those of others.
func TestProxyCutsSingleProcesses(t *testing.T) {
	scenarios := []struct {
		name   string
		cut    Impairment
		dialer int
		want   bool
	}{
		{name: "held", cut: Impairment{HoldInbound: true, HoldOutbound: true}, dialer: 1},
		{name: "refused", cut: Impairment{Refuse: true}, dialer: 1},
		{name: "another process", cut: Impairment{Refuse: true, HoldInbound: true}, dialer: 2, want: true},
		{name: "a caller", cut: Impairment{Refuse: true, HoldInbound: true}, dialer: unknownDialer, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			proxy, err := StartProxy("127.0.0.1:0", startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			proxy.NameDialers(func(net.Conn) int { return s.dialer })
			proxy.SetCuts(map[int]Impairment{1: s.cut})
			if got := echoes(t, proxy); got != s.want {
				t.Errorf("answered during the cut = %t, want %t", got, s.want)
			}
			proxy.SetCuts(nil)
			if !echoes(t, proxy) {
				t.Error("not answered after the cut")
			}
		})
	}
}

// echoes reports whether a new connection through the proxy is answered.
func echoes(t *testing.T, proxy *Proxy) bool {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		// A reset may come before the dialer has returned.
		return false
	}
	defer conn.Close()
	_, _ = conn.Write([]byte("x"))
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	n, _ := conn.Read(make([]byte, 1))
	return n == 1
}
