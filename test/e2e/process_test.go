package e2e

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a program that the test has started.
type process struct {
	name    string
	logFile string // file with its standard output and error
	cmd     *exec.Cmd
	exited  chan error
	// pausedAt and resumedAt are the times of the latest pause, zero if there was none.
	pausedAt, resumedAt time.Time
}

// buildPrograms builds every program into a temporary directory. GODWIT_BIN names a directory with
// programs that are built already.
func buildPrograms(t *testing.T) string {
	t.Helper()
	if dir := os.Getenv("GODWIT_BIN"); dir != "" {
		return dir
	}
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// start writes a settings file and starts a program with it.
func (c *cluster) start(t *testing.T, name, program, settings string) *process {
	t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return c.startFile(t, name, program, file)
}

// startFile starts a program with an existing settings file.
func (c *cluster) startFile(t *testing.T, name, program, file string) *process {
	t.Helper()
	p := &process{name: name, logFile: filepath.Join(c.dir, name+".log"), exited: make(chan error, 1)}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(c.programDir, program), "run", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process must not outlive a test that is killed. It has a session of its own: the kernel sends SIGHUP
	// to the stopped processes of a process group whose shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: true}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.exited <- p.cmd.Wait()
		log.Close()
	}()
	c.processes = append(c.processes, p)
	return p
}

// terminate sends SIGTERM and expects exit status 0 within the timeout.
func (p *process) terminate(t *testing.T, timeout time.Duration) {
	t.Helper()
	if err := p.terminateErr(timeout); err != nil {
		t.Fatal(err)
	}
}

func (p *process) terminateErr(timeout time.Duration) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	select {
	case err := <-p.exited:
		p.exited <- err
		if err != nil {
			return fmt.Errorf("%s: planned stop failed: %w\n%s", p.name, err, p.logTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s: no exit within %v of SIGTERM\n%s", p.name, timeout, p.logTail())
	}
}

// pause suspends the process until resume.
func (p *process) pause(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	p.pausedAt, p.resumedAt = time.Now(), time.Time{}
}

func (p *process) resume(t *testing.T) {
	t.Helper()
	p.resumedAt = time.Now()
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	// A process that has already exited needs no signal.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	err := <-p.exited
	p.exited <- err
}

// alive reports whether the process is still running.
func (p *process) alive() bool {
	select {
	case err := <-p.exited:
		p.exited <- err
		return false
	default:
		return true
	}
}

// logTailLines is the number of lines of a process log that a failure message shows.
const logTailLines = 15

func (p *process) logTail() string {
	content, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	if len(lines) > logTailLines {
		lines = lines[len(lines)-logTailLines:]
	}
	return "--- last log lines of " + p.name + "\n" + strings.Join(lines, "\n")
}

// godwitctl runs the command against the operator addresses of all running entry processes.
func (c *cluster) godwitctl(args ...string) (string, error) {
	for _, e := range c.entries {
		if e.process.alive() {
			args = append(args, "--entry", e.operatorAddress)
		}
	}
	if c.tlsFiles != nil {
		args = append(args, "--certificate", c.tlsFiles.certificate, "--key", c.tlsFiles.key, "--authorities", c.tlsFiles.authorities)
	}
	command := exec.Command(filepath.Join(c.programDir, "godwitctl"), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	if err := command.Run(); err != nil {
		return "", fmt.Errorf("godwitctl %s: %w\n%s", strings.Join(args, " "), err, stderr.String())
	}
	return stdout.String(), nil
}
