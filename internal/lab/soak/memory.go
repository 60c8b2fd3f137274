package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// memoryInterval is how often the processes' memory is looked at.
const memoryInterval = 100 * time.Millisecond

// memoryMeter finds the most memory that one of the limiters' processes has held.
type memoryMeter struct {
	mutex     sync.Mutex
	processes []measured
	most      int64 // bytes
}

// measured is a process and the program that it is to run: its launcher does not count.
type measured struct {
	command *exec.Cmd
	program os.FileInfo // nil where there is none
}

// add has the process of a command looked at, which has started.
func (m *memoryMeter) add(command *exec.Cmd, program string) {
	info, _ := os.Stat(program)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.processes = append(m.processes, measured{command, info})
}

// run looks at the processes until stop.
func (m *memoryMeter) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		m.look()
	}
}

func (m *memoryMeter) look() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, process := range m.processes {
		pid := process.command.Process.Pid
		running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid))
		if err != nil || !os.SameFile(running, process.program) {
			continue
		}
		if held, err := procfs.PeakResident(pid); err == nil {
			m.most = max(m.most, held)
		}
	}
}

// peak is the most that one process has held, bytes.
func (m *memoryMeter) peak() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.most
}

// overMemory finds that a process held more than its limit, in MB.
func overMemory(most int64, limit int) []Finding {
	if most <= int64(limit)<<20 {
		return nil
	}
	return []Finding{{What: "memory", Detail: fmt.Sprintf("a limiter held %d MB", most>>20)}}
}
