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

// process is one started program.
type process struct {
	name    string
	logFile string // file with its standard error
	cmd     *exec.Cmd
	exited  chan error
}

// buildPrograms builds every program into a folder of the test.
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

func (c *cluster) start(t *testing.T, name, program, settings string) *process {
	t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return c.startFile(t, name, program, file)
}

func (c *cluster) startFile(t *testing.T, name, program, file string) *process {
	t.Helper()
	p := &process{name: name, logFile: filepath.Join(c.dir, name+".log"), exited: make(chan error, 1)}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(c.programDir, program), "run", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A test that is killed must leave no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
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

// terminate sends SIGTERM and expects a clean exit.
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
			return fmt.Errorf("%s: planned stop ended with %w\n%s", p.name, err, p.logTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s: no exit within %v of SIGTERM\n%s", p.name, timeout, p.logTail())
	}
}

// pause freezes the process until resume.
func (p *process) pause(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
}

func (p *process) resume(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	// A process that has already exited needs no signal.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	err := <-p.exited
	p.exited <- err
}

// alive reports whether the process still runs.
func (p *process) alive() bool {
	select {
	case err := <-p.exited:
		p.exited <- err
		return false
	default:
		return true
	}
}

// tailLines is how much of a process's log a failure shows.
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
	return "--- end of the log of " + p.name + "\n" + strings.Join(lines, "\n")
}

// ctl runs godwitctl against the given entry processes.
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
