package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"figbank"
)

const (
	// maxGatewayBytes is the memory of the smallest gateways of the platform.
	maxGatewayBytes = 160 * megabyte
	megabyte        = 1000 * 1000
	kilobyte        = 1 << 10
	// Columns of the kernel's table of sockets.
	queuesColumn = 4
	inodeColumn  = 9
)

// checkMemory records a violation for each gateway that has used more memory than the smallest ones have.
func (r *run) checkMemory() {
	for _, p := range r.cluster.processes {
		if p.role != roleGateway {
			continue
		}
		used, err := p.peakMemory()
		if err != nil {
			continue
		}
		r.printf("%s has used %d MB, up to %d MB had arrived and were not read", p.id, used/megabyte, r.unread[p.id]/megabyte)
		if used > maxGatewayBytes {
			r.record.addViolation("Memory", "%s has used %d bytes, %d are allowed", p.id, used, maxGatewayBytes)
		}
	}
}

// peakMemory returns the most memory that the process has used since its start.
func (p *process) peakMemory() (figbank.Bytes, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0, figbank.InvalidError{Subject: p.id, Detail: "does not run"}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, figbank.WrapError("soak", "Memory", err)
	}
	return readPeak(string(status))
}

// readPeak returns the most memory that a process has used, from its status file.
func readPeak(status string) (figbank.Bytes, error) {
	for line := range strings.Lines(status) {
		var kilobytes figbank.Bytes
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes * kilobyte, nil
		}
	}
	return 0, figbank.InvalidError{Subject: "status", Detail: "names no peak of memory"}
}

// watchUnread samples until ctx ends how many bytes have arrived for each gateway that it has not read. The
// platform counts these as its memory, VmHWM does not.
func (r *run) watchUnread(ctx context.Context) {
	for ; ctx.Err() == nil; wall.sleep(pollInterval) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return
		}
		unread := readUnread(string(table))
		for _, p := range r.cluster.processes {
			if p.role == roleGateway {
				r.unread[p.id] = max(r.unread[p.id], p.sumSockets(unread))
			}
		}
	}
}

// sumSockets adds up the values of the sockets of a process. The map holds them by the name of the socket.
func (p *process) sumSockets(values map[string]figbank.Bytes) figbank.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	sum := figbank.Bytes(0)
	for _, descriptor := range descriptors {
		name, _ := os.Readlink(descriptor)
		sum += values[name]
	}
	return sum
}

// readUnread returns how many bytes were not read, by the name of the socket, from the kernel's table of
// sockets.
func readUnread(table string) map[string]figbank.Bytes {
	unread := map[string]figbank.Bytes{}
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn {
			continue
		}
		_, queue, _ := strings.Cut(columns[queuesColumn], ":")
		bytes, err := strconv.ParseUint(queue, 16, 32)
		if err == nil && bytes > 0 {
			unread["socket:["+columns[inodeColumn]+"]"] = figbank.Bytes(bytes)
		}
	}
	return unread
}
