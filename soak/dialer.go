package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// socketTable lists the IPv4 TCP sockets of this machine.
const socketTable = "/proc/net/tcp"

// inodeField is the position of a socket's inode in a line of socketTable, after its address and its peer's.
const inodeField = 9

// dialerOf returns the index of the process that has opened a connection to this one, or unknownDialer.
func (c *cluster) dialerOf(conn net.Conn) int {
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return unknownDialer
	}
	inode := inodeOf(table, conn.RemoteAddr(), conn.LocalAddr())
	if inode == "" {
		return unknownDialer
	}
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for n, p := range processes {
		if p.holdsSocket(inode) {
			return n
		}
	}
	return unknownDialer
}

// inodeOf returns the inode of the socket at one address that is connected to another, or "".
func inodeOf(table []byte, local, remote net.Addr) string {
	wanted := fmt.Sprintf("%s %s ", socketAddress(local), socketAddress(remote))
	for line := range bytes.Lines(table) {
		if !bytes.Contains(line, []byte(wanted)) {
			continue
		}
		if fields := strings.Fields(string(line)); len(fields) > inodeField {
			return fields[inodeField]
		}
	}
	return ""
}

// socketAddress writes an address as socketTable does: the IP address as a number of this machine, and the port.
func socketAddress(address net.Addr) string {
	tcp, isTCP := address.(*net.TCPAddr)
	if !isTCP {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// holdsSocket reports whether a socket is among the open files of the process.
func (p *process) holdsSocket(inode string) bool {
	p.mu.Lock()
	running, pid := p.running(), 0
	if running {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	if !running {
		return false
	}
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if target, _ := os.Readlink(filepath.Join(folder, entry.Name())); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
