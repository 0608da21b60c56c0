package soak

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"figbank"
)

const (
	// stopTime is how long a process may take to end once it was asked to.
	stopTime = 12 * time.Second
	// walName is the file that a replica writes its log to.
	walName = "Log"
)

type (
	// processSpec is what a process is started with.
	processSpec struct {
		id, role, zone string
		binary, folder string
		settings       string
	}

	// process is one program of figbank; it may be started again and again. It is
	// safe for concurrent use.
	process struct {
		processSpec
		// onOwnEnd is told when it ends without having been asked to.
		onOwnEnd func(p *process, err error)

		mu     sync.Mutex
		cmd    *exec.Cmd
		ended  chan struct{}
		asked  bool
		killed bool
		// logged is how long the log was before the present start.
		logged int64
	}
)

func newProcess(spec processSpec, onOwnEnd func(*process, error)) (*process, error) {
	p := &process{processSpec: spec, onOwnEnd: onOwnEnd}
	if err := os.MkdirAll(p.dataFolder(), 0o700); err != nil {
		return nil, figbank.Fail("soak", "Folder", err)
	}
	return p, figbank.Fail("soak", "Settings", os.WriteFile(p.settingsFile(), []byte(spec.settings), 0o600))
}

func (p *process) dataFolder() string   { return filepath.Join(p.folder, p.id) }
func (p *process) settingsFile() string { return filepath.Join(p.folder, p.id+".ini") }
func (p *process) logFile() string      { return filepath.Join(p.folder, p.id+".log") }

// start starts it, if it does not run.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return figbank.Fail("soak", "Log", err)
	}
	defer log.Close()
	//nolint:gosec // the program under test
	cmd := exec.CommandContext(context.Background(), p.binary, "platform", p.role, "--settings", p.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	p.logged = p.logLength()
	if err := cmd.Start(); err != nil {
		return figbank.Fail("soak", "Start", err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.asked, p.killed = cmd, ended, false, false
	go p.await(cmd, ended)
	return nil
}

// runs tells whether it runs; the caller holds the lock.
func (p *process) runs() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	asked := p.asked
	close(ended)
	p.mu.Unlock()
	if !asked {
		p.onOwnEnd(p, err)
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return
	}
	p.asked = p.asked || signal == syscall.SIGTERM || signal == syscall.SIGKILL
	p.killed = p.killed || signal == syscall.SIGKILL
	_ = p.cmd.Process.Signal(signal)
}

// kill ends it at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitEnd(stopTime)
}

// stop asks it to end and reports whether it did in time and without failure;
// another fault may kill it meanwhile.
func (p *process) stop() error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.awaitEnd(stopTime) {
		p.kill()
		return figbank.InvalidError{Subject: p.id, Detail: "did not end within " + stopTime.String() + " of SIGTERM"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.killed || !p.hasSpoken() || p.cmd.ProcessState.Success() {
		return nil
	}
	return figbank.InvalidError{Subject: p.id, Detail: "ended with " + p.cmd.ProcessState.String() + " after SIGTERM"}
}

// hasSpoken tells whether it has logged anything since its start. Before its first
// line a program cannot know of signals, and is ended by them.
func (p *process) hasSpoken() bool {
	return p.logLength() > p.logged
}

// reload tells it to read its settings again, unless it has only just started.
func (p *process) reload() {
	p.mu.Lock()
	spoken := p.hasSpoken()
	p.mu.Unlock()
	if spoken {
		p.signal(syscall.SIGHUP)
	}
}

func (p *process) logLength() int64 {
	info, err := os.Stat(p.logFile())
	if err != nil {
		return 0
	}
	return info.Size()
}

func (p *process) awaitEnd(most time.Duration) bool {
	p.mu.Lock()
	ended, runs := p.ended, p.runs()
	p.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-ended:
		return true
	case <-wall.After(most):
		return false
	}
}

// wipe empties its data folder; it must not run.
func (p *process) wipe() error {
	err := errors.Join(os.RemoveAll(p.dataFolder()), os.MkdirAll(p.dataFolder(), 0o700))
	return figbank.Fail("soak", "Wipe", err)
}

// tear leaves a torn record at the end of what it wrote last, as a loss of power
// in the middle of a write does; it must not run.
func (p *process) tear(garbage []byte) error {
	newest, at := "", time.Time{}
	err := filepath.Walk(p.dataFolder(), func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() && info.Name() == walName && info.ModTime().After(at) {
			newest, at = path, info.ModTime()
		}
		return err
	})
	if err != nil || newest == "" {
		return figbank.Fail("soak", "Tear", err)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // a file of this run
	if err != nil {
		return figbank.Fail("soak", "Tear", err)
	}
	_, err = file.Write(garbage)
	return figbank.Fail("soak", "Tear", errors.Join(err, file.Close()))
}
