package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// memorySampleInterval is how often the processes' memory is looked at.
const memorySampleInterval = 100 * time.Millisecond

// memoryMeter finds the most memory that one of the limiters' processes has held.
type memoryMeter struct {
	mutex     sync.Mutex
	processes []measuredProcess
	peakBytes int64 // bytes
}

// measuredProcess is a process and the program that it is to run: its launcher does not count.
type measuredProcess struct {
	command *exec.Cmd
	program os.FileInfo // nil where there is none
}

// add has the process of a command looked at, which has started.
func (m *memoryMeter) add(command *exec.Cmd, program string) {
	info, _ := os.Stat(program)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.processes = append(m.processes, measuredProcess{command, info})
}

// run looks at the processes until stop.
func (m *memoryMeter) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memorySampleInterval):
		}
		m.sample()
	}
}

func (m *memoryMeter) sample() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, process := range m.processes {
		pid := process.command.Process.Pid
		running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid))
		if err != nil || !os.SameFile(running, process.program) {
			continue
		}
		if resident, err := procfs.PeakResident(pid); err == nil {
			m.peakBytes = max(m.peakBytes, resident)
		}
	}
}

// peak is the most that one process has held, bytes.
func (m *memoryMeter) peak() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peakBytes
}

// memoryFindings finds that a process held more than its limit, in MB.
func memoryFindings(peakBytes int64, limitMB int) []Finding {
	if peakBytes <= int64(limitMB)<<20 {
		return nil
	}
	return []Finding{{What: "memory", Detail: fmt.Sprintf("a limiter held %d MB", peakBytes>>20)}}
}
