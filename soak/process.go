package soak

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"figbank"
)

const (
	// stopTimeout bounds how long a process may take to exit after it was asked to.
	stopTimeout = 12 * time.Second
	// walFileName is the name of the file in which a replica stores the replicated log.
	walFileName = "Log"
)

type (
	// processSpec describes how a process is started.
	processSpec struct {
		id, role, failureDomain string
		binary, folder          string
		settings                string
	}

	// process is a figbank process that can be started repeatedly. It is safe for
	// concurrent use.
	process struct {
		processSpec
		// onUnexpectedExit is called when the process exits without having been asked to.
		onUnexpectedExit func(p *process, err error)

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		// stopRequested is set once SIGTERM or SIGKILL was sent since the last start.
		stopRequested bool
		// killed is set once SIGKILL was sent since the last start.
		killed bool
		// disturbances holds when the process was started, stopped, paused and resumed.
		disturbances []time.Time
		// logSizeAtStart is the size of logFile just before the last start.
		logSizeAtStart int64
	}
)

func newProcess(spec processSpec, onUnexpectedExit func(*process, error)) (*process, error) {
	p := &process{processSpec: spec, onUnexpectedExit: onUnexpectedExit}
	if err := os.MkdirAll(p.dataFolder(), 0o700); err != nil {
		return nil, figbank.WrapError("soak", "Folder", err)
	}
	return p, figbank.WrapError("soak", "Settings", os.WriteFile(p.settingsFile(), []byte(spec.settings), 0o600))
}

func (p *process) dataFolder() string   { return filepath.Join(p.folder, p.id) }
func (p *process) settingsFile() string { return filepath.Join(p.folder, p.id+".ini") }

// fullFile exists while the disk of the process is full.
func (p *process) fullFile() string { return filepath.Join(p.folder, p.id+".full") }
func (p *process) logFile() string  { return filepath.Join(p.folder, p.id+".log") }

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	if p.cmd != nil {
		if err := p.endBootstrap(); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return figbank.WrapError("soak", "Log", err)
	}
	defer log.Close()
	//nolint:gosec // the program under test
	cmd := exec.CommandContext(context.Background(), p.binary, p.arguments()...)
	cmd.Stdout, cmd.Stderr = log, log
	p.logSizeAtStart = p.logSize()
	if err := cmd.Start(); err != nil {
		return figbank.WrapError("soak", "Start", err)
	}
	p.disturbances = append(p.disturbances, wall.Now())
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested, p.killed = cmd, exited, false, false
	go p.awaitCommand(cmd, exited)
	return nil
}

// arguments returns the command line of the process. Replicas run on a disk that can be full.
func (p *process) arguments() []string {
	if p.role == roleReplica {
		return []string{"soak-replica", "--settings", p.settingsFile(), "--full", p.fullFile()}
	}
	return []string{"platform", p.role, "--settings", p.settingsFile()}
}

// endBootstrap makes the next start one of a deployment that has run before. The caller holds p.mu.
func (p *process) endBootstrap() error {
	p.settings = strings.Replace(p.settings, bootstrapLine(true), bootstrapLine(false), 1)
	return p.writeSettings()
}

// replaceSetting replaces a line of the settings. A running process reads them again.
func (p *process) replaceSetting(old, next string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = strings.Replace(p.settings, old, next, 1)
	return p.writeSettings()
}

// writeSettings replaces the settings file at once: the process may be reading it.
func (p *process) writeSettings() error {
	next := p.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(p.settings), 0o600); err != nil {
		return figbank.WrapError("soak", "Settings", err)
	}
	return figbank.WrapError("soak", "Settings", os.Rename(next, p.settingsFile()))
}

// setFull sets whether the disk of the process takes no more bytes.
func (p *process) setFull(full bool) error {
	if full {
		return figbank.WrapError("soak", "FullDisk", os.WriteFile(p.fullFile(), nil, 0o600))
	}
	return figbank.WrapError("soak", "FullDisk", os.Remove(p.fullFile()))
}

// running reports whether the process runs. The caller holds p.mu.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) awaitCommand(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	close(exited)
	p.mu.Unlock()
	if !stopRequested {
		p.onUnexpectedExit(p, err)
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	p.stopRequested = p.stopRequested || signal == syscall.SIGTERM || signal == syscall.SIGKILL
	p.killed = p.killed || signal == syscall.SIGKILL
	if signal != syscall.SIGHUP {
		p.disturbances = append(p.disturbances, wall.Now())
	}
	_ = p.cmd.Process.Signal(signal)
}

// disturbedWithin reports whether the process was started, stopped, paused or resumed within a time.
func (p *process) disturbedWithin(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbances, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// kill sends SIGKILL and waits, up to stopTimeout, for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(stopTimeout)
}

// stop resumes the process if it is paused, and sends SIGTERM. It returns an error if the
// process exits with a failure. If the process does not exit within stopTimeout, stop kills it
// and returns an error. It is not an error if another fault kills the process meanwhile, or if
// the process exits before its first log line.
func (p *process) stop() error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.awaitExit(stopTimeout) {
		p.kill()
		return figbank.InvalidError{Subject: p.id, Detail: "did not exit within " + stopTimeout.String() + " of SIGTERM"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.killed || !p.hasLogged() || p.cmd.ProcessState.Success() {
		return nil
	}
	return figbank.InvalidError{Subject: p.id, Detail: "ended with " + p.cmd.ProcessState.String() + " after SIGTERM"}
}

// hasLogged reports whether the process has logged anything since its start. A process that
// has not logged anything may not have installed its signal handlers yet. A signal would then
// terminate it.
func (p *process) hasLogged() bool {
	return p.logSize() > p.logSizeAtStart
}

// reload makes the process read its settings again, unless it has not logged anything yet.
func (p *process) reload() {
	p.mu.Lock()
	logged := p.hasLogged()
	p.mu.Unlock()
	if logged {
		p.signal(syscall.SIGHUP)
	}
}

func (p *process) logSize() int64 {
	info, err := os.Stat(p.logFile())
	if err != nil {
		return 0
	}
	return info.Size()
}

// awaitExit waits for the process to exit, and reports whether it does within timeout.
func (p *process) awaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited, running := p.exited, p.running()
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-wall.After(timeout):
		return false
	}
}

// wipe empties the data folder. The process must not run.
func (p *process) wipe() error {
	err := errors.Join(os.RemoveAll(p.dataFolder()), os.MkdirAll(p.dataFolder(), 0o700))
	return figbank.WrapError("soak", "Wipe", err)
}

// appendTornRecord appends garbage to the file of the replicated log, as a power loss during
// a write leaves it. If there are several such files, it appends to the one written last. The
// process must not run.
func (p *process) appendTornRecord(garbage []byte) error {
	newest, newestTime := "", time.Time{}
	err := filepath.Walk(p.dataFolder(), func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() && info.Name() == walFileName && info.ModTime().After(newestTime) {
			newest, newestTime = path, info.ModTime()
		}
		return err
	})
	if err != nil || newest == "" {
		return figbank.WrapError("soak", "Tear", err)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // a file of this run
	if err != nil {
		return figbank.WrapError("soak", "Tear", err)
	}
	_, err = file.Write(garbage)
	return figbank.WrapError("soak", "Tear", errors.Join(err, file.Close()))
}
