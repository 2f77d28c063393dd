package stage

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is a process that a case has started.
type Process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	once   sync.Once
}

// startProcess starts a command whose output goes to a file. The process ends with its parent.
func startProcess(cmd *exec.Cmd, logPath string) (*Process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	ps := &Process{cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		// A killed process exits with an error.
		_ = cmd.Wait()
		_ = log.Close()
		close(ps.exited)
	}()
	return ps, nil
}

// Signal sends a signal to the process.
func (ps *Process) Signal(sig syscall.Signal) { _ = ps.cmd.Process.Signal(sig) }

// Kill kills the process, and waits until it has ended.
func (ps *Process) Kill() {
	ps.once.Do(func() { ps.Signal(syscall.SIGKILL) })
	<-ps.exited
}

// HasExited reports whether the process has ended.
func (ps *Process) HasExited() bool {
	select {
	case <-ps.exited:
		return true
	default:
		return false
	}
}
