package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Limiter is one limiter process, started by the command `run` of the deploy file.
type Limiter struct {
	Name, Address, config string
	process               *exec.Cmd
	done                  chan struct{}
	root                  string
}

// FreeAddress returns a loopback address at which nobody listens. Its host is not the one from which connections are
// opened, so that none of them takes the port before the limiter does.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// RunCommand reads the command `run` of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if name, value, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("the deploy file has no run")
}

// StartLimiter writes the configuration into a folder and starts the limiter there.
func StartLimiter(root, folder, name string, config map[string]any) (*Limiter, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	private := filepath.Join(folder, name)
	temporary := filepath.Join(private, "tmp")
	if err := os.MkdirAll(temporary, 0o755); err != nil {
		return nil, err
	}
	config["name"], config["listen"] = name, address
	l := &Limiter{Name: name, Address: address, config: filepath.Join(private, "config.json"), done: make(chan struct{}),
		root: root}
	if err := l.WriteConfig(config); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(private, "log.txt"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	l.process = exec.Command("/bin/sh", "-c", run)
	l.process.Dir, l.process.Stdout, l.process.Stderr = root, log, log
	l.process.Env = []string{"PATH=" + os.Getenv("PATH"), "GW_NAME=" + name, "GW_LISTEN=" + address, "TMPDIR=" + temporary,
		"GW_DISCOVERY=" + fmt.Sprint(config["discovery"]), "GW_CONFIG=" + l.config}
	// The limiter ends with the case, also if that is killed.
	l.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := l.process.Start(); err != nil {
		return nil, err
	}
	go func() { _ = l.process.Wait(); close(l.done) }()
	return l, nil
}

// WriteConfig replaces the configuration's file.
func (l *Limiter) WriteConfig(config map[string]any) error {
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.config+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(l.config+".new", l.config)
}

// Signal sends a signal to the limiter.
func (l *Limiter) Signal(signal syscall.Signal) error { return l.process.Process.Signal(signal) }

// Pid is the number of the limiter's process.
func (l *Limiter) Pid() int { return l.process.Process.Pid }

// Ended tells whether the process has ended.
func (l *Limiter) Ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// WaitReady asks PING until the limiter answers +PONG.
func (l *Limiter) WaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end) && !l.Ended(); time.Sleep(50 * time.Millisecond) {
		if l.ping() {
			return nil
		}
	}
	return fmt.Errorf("limiter %s was not ready within %v", l.Name, within)
}

func (l *Limiter) ping() bool {
	conn, err := net.DialTimeout("tcp", l.Address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(AppendCommand(nil, "PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// Kill ends the process.
func (l *Limiter) Kill() {
	_ = l.process.Process.Kill()
	<-l.done
}
