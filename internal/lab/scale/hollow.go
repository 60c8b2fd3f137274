package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/sockets"
)

// A hollow limiter runs the limiter's own reducer, decision module and control clients over real connections, but no
// client connects to it, so that one process can run many. HostMain is that process, a host. It reads commands as
// lines of JSON and answers each with a line of JSON.

// hostSpec is the first line that a host reads.
type hostSpec struct {
	Limiters    []limiterConfig `json:"limiters"`
	Known       json.RawMessage `json:"known"`      // endpoint list that all limiters begin with, one copy for all
	Processors  int             `json:"processors"` // value of GOMAXPROCS
	MemoryBytes int64           `json:"memory"`     // soft memory limit of the Go runtime, bytes
	Counter     bool            `json:"counter"`    // run a stand-in of the counter instead of limiters
}

// hostCommand is each further line that a host reads.
type hostCommand struct {
	Command string  `json:"do"` // "stats" or "profile"
	Seconds float64 `json:"seconds,omitempty"`
	Path    string  `json:"path,omitempty"`
}

// hostAnswer is written once after the spec, when all limiters run, and once after each command.
type hostAnswer struct {
	Error        string  `json:"error,omitempty"`
	Address      string  `json:"address,omitempty"` // of the counter's stand-in
	HeapBytes    float64 `json:"heap"`              // bytes in use after a garbage collection
	StartSeconds float64 `json:"began"`             // seconds that starting all limiters took
}

// descriptorTableSize is the number of descriptors that each limiter's poller has entries for. Descriptors are
// numbered per process, so the poller of each limiter in a host has to cover the descriptors of all.
const descriptorTableSize = 1 << 12

// HostMain is the main function of a host. It reads a hostSpec from in, starts its limiters or its counter, and then
// answers the commands on in until in ends.
func HostMain(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	answers := json.NewEncoder(out)
	var spec hostSpec
	if err := readLine(lines, &spec); err != nil {
		return err
	}
	runtime.GOMAXPROCS(spec.Processors)
	debug.SetMemoryLimit(spec.MemoryBytes)
	if spec.Counter {
		return counterMain(lines, answers)
	}
	start := time.Now()
	for _, config := range spec.Limiters {
		if err := startHollowLimiter(config, spec.Known); err != nil {
			_ = answers.Encode(hostAnswer{Error: err.Error()})
			return err
		}
	}
	if err := answers.Encode(hostAnswer{StartSeconds: time.Since(start).Seconds()}); err != nil {
		return err
	}
	for {
		var command hostCommand
		if err := readLine(lines, &command); err != nil {
			return nil // the harness closed its end or exited
		}
		if err := answers.Encode(execute(command)); err != nil {
			return err
		}
	}
}

// counterMain runs a stand-in of the counter until in ends.
func counterMain(in *bufio.Reader, answers *json.Encoder) error {
	counter := emulator.NewCounter(history.NewClock(), &history.Recorder{}, nil, 1)
	if err := counter.Start(); err != nil {
		return err
	}
	defer counter.Close()
	if err := answers.Encode(hostAnswer{Address: counter.Address(0)}); err != nil {
		return err
	}
	_, _ = in.ReadBytes('\n')
	return nil
}

func readLine(in *bufio.Reader, into any) error {
	text, err := in.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// startHollowLimiter starts one limiter, which runs until the process exits.
func startHollowLimiter(config limiterConfig, known []byte) error {
	text, err := encodeConfig(config)
	if err != nil {
		return err
	}
	decoded, err := settings.DecodeConfig(text)
	if err != nil {
		return err
	}
	decoded.Known = known
	network, err := sockets.Listen(decoded.Listen, limiter.MaxClients(decoded), descriptorTableSize/2)
	if err != nil {
		return err
	}
	start := time.Now()
	clock := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	reducer, err := limiter.New(clock(), decoded, network)
	if err != nil {
		return err
	}
	go network.Run(clock, reducer, nil, nil)
	return nil
}

func execute(command hostCommand) hostAnswer {
	switch command.Command {
	case "stats":
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return hostAnswer{HeapBytes: float64(stats.HeapAlloc)}
	case "profile":
		if err := writeProfile(command.Path, time.Duration(command.Seconds*float64(time.Second))); err != nil {
			return hostAnswer{Error: err.Error()}
		}
		return hostAnswer{}
	}
	return hostAnswer{Error: fmt.Sprintf("unknown command %q", command.Command)}
}

// writeProfile writes a processor profile of the given length to a file.
func writeProfile(path string, length time.Duration) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return err
	}
	time.Sleep(length)
	pprof.StopCPUProfile()
	return file.Close()
}
