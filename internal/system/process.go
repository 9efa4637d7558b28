package system

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout bounds the end of a process after SIGTERM.
const stopTimeout = 30 * time.Second

// A process is one running program with its output in a file.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	// done is closed when the program has ended; err is set before.
	done chan struct{}
	err  error
}

// startProcess runs a program with its output appended to a file.
func startProcess(name, logFile, program string, arguments ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the test names the file
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	p := &process{
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

func (p *process) signal(s syscall.Signal) error {
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrapf(err, "signal %s", p.name)
}

// stop ends the program gracefully, and by force where that takes too long.
func (p *process) stop() error {
	_ = p.signal(syscall.SIGCONT)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-timer.C:
		_ = p.signal(syscall.SIGKILL)
		<-p.done
		return eris.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
}

func (p *process) wait() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}
