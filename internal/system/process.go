package system

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 30 * time.Second

// A Process is a program that was started with its output written to a file.
type Process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	// done is closed when the program has ended and err is set.
	done chan struct{}
	err  error
}

// StartProcess starts a program and appends its output to logFile.
func StartProcess(name, logFile, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the test names the file
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	p := &Process{
		name:    name,
		command: exec.Command(program, arguments...), //nolint:gosec // the test names the program
		log:     log,
		done:    make(chan struct{}),
	}
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go p.wait()
	return p, nil
}

// Done returns a channel that is closed when the program has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Signal sends a signal to the program. It does nothing if the program has
// ended.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrapf(err, "signal %s", p.name)
}

// Stop resumes the program if it is paused, sends SIGTERM and waits for its end.
// After stopTimeout it sends SIGKILL and returns an error.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-timer.C:
		_ = p.Signal(syscall.SIGKILL)
		<-p.done
		return eris.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
}

func (p *Process) wait() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}
