//go:build fleet

package integration

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// dialer returns the node whose process dialed the connection, or "unknown".
func (n *network) dialer(conn net.Conn) string {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return "unknown"
	}
	local := conn.LocalAddr().(*net.TCPAddr)
	inode := socketInode(remote.Port, local.Port)
	n.mu.Lock()
	nodeByPID := make(map[int]string, len(n.nodeByPID))
	for pid, node := range n.nodeByPID {
		nodeByPID[pid] = node
	}
	n.mu.Unlock()
	for pid, node := range nodeByPID {
		if inode != "" && hasSocket(pid, inode) {
			return node
		}
	}
	return "unknown"
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// socketInode returns the inode of the IPv4 socket with the local port from that is connected to
// the port to, or an empty string.
func socketInode(from, to int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	local, remote := fmt.Sprintf(":%04X", from), fmt.Sprintf(":%04X", to)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= columnInode {
			continue
		}
		if strings.HasSuffix(fields[columnLocal], local) && strings.HasSuffix(fields[columnRemote], remote) {
			return fields[columnInode]
		}
	}
	return ""
}

// hasSocket reports whether the process has a file descriptor of the socket.
func hasSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
