package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["ghost-replica"] = ghostReplica }

const (
	// catchUp is the time between the end of one loss and the next: twice catch_up_s.
	catchUp = 8 * time.Second
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
	// earlyReads is how often the configuration is read before the first loss.
	earlyReads = 40
	// leaderFreeze is how long a leader is frozen, so that another one is elected.
	leaderFreeze = 1500 * time.Millisecond
)

// replace ends a replica for good. A second later, an empty one starts in the same zone at another address.
func (c *cluster) replace(index, host int) error {
	gone := c.replicas[index]
	gone.kill()
	c.record.line("%s at %s is gone for good", gone.name, gone.ip)
	c.gone = append(c.gone, gone)
	time.Sleep(time.Second)
	next := c.newProcess(gone.binary, "replica", fmt.Sprintf("core-%s-%d", zones[index], host), zones[index], host)
	c.writeSettings(next, zones[index], false)
	c.replicas[index] = next
	if err := next.begin(); err != nil {
		return err
	}
	c.record.line("%s starts at %s with an empty disk", next.name, next.ip)
	return nil
}

// wipe kills a replica and starts it again at its address, with an empty disk.
func (c *cluster) wipe(index int) error {
	p := c.replicas[index]
	p.kill()
	_ = os.RemoveAll(p.dataFolder)
	_ = os.MkdirAll(p.dataFolder, 0o700)
	c.writeSettings(p, zones[index], false)
	c.record.line("%s has lost its disk", p.name)
	time.Sleep(time.Second)
	return p.begin()
}

// leader returns the index of the replica that says it leads in the highest term, as its log has it.
func (c *cluster) leader() int {
	leader, highest := -1, -1
	for i, p := range c.replicas {
		file, err := os.Open(p.log)
		if err != nil {
			continue
		}
		role, term := "", -1
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var entry struct {
				Msg, Role string
				Term      int
			}
			if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Msg == "role changed" {
				role, term = entry.Role, entry.Term
			}
		}
		_ = file.Close()
		if role == "Leader" && term > highest {
			leader, highest = i, term
		}
	}
	return leader
}

// ghostReplica: one replica is replaced for good, another one loses its disk and is later replaced for good
// too, then the first one's successor is replaced. Each loss comes when the one before is long over. The
// configuration that was acknowledged must still be read.
func ghostReplica(c *cluster, trouble bool) (verdict, error) {
	if _, err := prepare(c, 60*time.Millisecond); err != nil {
		return verdict{}, err
	}
	const first, second, lasting = 0, 1, 2
	// The operator reads the configuration now and then. Each read is an entry of the log.
	for i := range earlyReads {
		if _, _, err := call(http.MethodGet, "http://"+c.control(i%replicaCount)+"/v1/config", nil, callTimeout); err != nil {
			c.record.line("operator gets no answer to a read: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		if err := c.replace(first, 4); err != nil {
			return verdict{}, err
		}
		time.Sleep(catchUp)
		if err := c.wipe(second); err != nil {
			return verdict{}, err
		}
		time.Sleep(catchUp)
		for try := 0; c.leader() != lasting && try < 6; try++ {
			leading := c.replicas[max(0, c.leader())]
			leading.signal(syscall.SIGSTOP)
			time.Sleep(leaderFreeze)
			leading.signal(syscall.SIGCONT)
			c.record.line("froze %s, which led, for 1.5 s", leading.name)
			time.Sleep(catchUp / 2)
		}
		if err := c.replace(second, 5); err != nil {
			return verdict{}, err
		}
		time.Sleep(catchUp)
	}
	if _, err := c.order(lasting, http.MethodPut, "/v1/config", manifest(2)); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.Sleep(time.Second)
		if err := c.replace(first, 6); err != nil {
			return verdict{}, err
		}
		time.Sleep(recoveryTime)
	}
	return c.readBack(2), nil
}

// readBack reads the configuration from all replicas in turn for 8 s, until one answers. It counts a break if
// none does, or if the version is older.
func (c *cluster) readBack(wanted int) verdict {
	answers := map[int]int{}
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for i, p := range c.replicas {
			status, body, err := call(http.MethodGet, "http://"+c.control(i)+"/v1/config", nil, callTimeout)
			c.record.line("operator reads the configuration from %s: %d, %d bytes (%v)", p.name, status, len(body), err)
			answers[status]++
			var document struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(body, &document) == nil {
				v := verdict{detail: fmt.Sprintf("version %d was acknowledged, version %d is read", wanted, document.Version)}
				if document.Version < wanted {
					v.breaks = 1
				}
				return v
			}
		}
	}
	return verdict{breaks: 1, detail: fmt.Sprintf("version %d was acknowledged; no read was answered with it (0 is no answer): %v", wanted, answers)}
}
