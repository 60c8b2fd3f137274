package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"ospreycroft/internal/lab/procfs"
)

// memorySampleInterval is the time between two samples of the processes' memory.
const memorySampleInterval = 100 * time.Millisecond

// memoryMeter measures the peak resident memory of the limiter processes, as the maximum over the processes.
type memoryMeter struct {
	mutex     sync.Mutex
	processes []measuredProcess
	peakBytes int64
}

// measuredProcess is a process with the program that it will run. It is not measured while it still runs the launcher.
type measuredProcess struct {
	command *exec.Cmd
	program os.FileInfo // nil if the file does not exist; then the process is never measured
}

// add starts to measure the process of a command that has been started.
func (m *memoryMeter) add(command *exec.Cmd, program string) {
	info, _ := os.Stat(program)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.processes = append(m.processes, measuredProcess{command, info})
}

// run samples the processes until stop is closed.
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

// sample updates the peak from all processes that run their program by now.
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

// peak returns the peak resident memory of any one process, in bytes.
func (m *memoryMeter) peak() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peakBytes
}

// memoryFindings returns a finding if the peak exceeds the memory limit.
func memoryFindings(peakBytes int64, limitMB int) []Finding {
	if peakBytes <= int64(limitMB)<<20 {
		return nil
	}
	return []Finding{{What: "memory", Detail: fmt.Sprintf("a limiter held %d MB", peakBytes>>20)}}
}
