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

// A hollow limiter is the limiter's own reducer, module and control clients over real connections, with no clients:
// many in one process. HostMain is that process; it is told what to do in lines of JSON.

// hostSpec is the first line that a host reads.
type hostSpec struct {
	Limiters    []limiterConfig `json:"limiters"`
	Known       json.RawMessage `json:"known"`      // the list that all of them begin with; one copy for all
	Processors  int             `json:"processors"` // GOMAXPROCS
	MemoryBytes int64           `json:"memory"`     // the runtime's soft limit, bytes
	Counter     bool            `json:"counter"`    // it runs a counter's stand-in instead
}

// hostCommand is a further line.
type hostCommand struct {
	Command string  `json:"do"` // stats or profile
	Seconds float64 `json:"seconds,omitempty"`
	Path    string  `json:"path,omitempty"`
}

// hostAnswer is written once for the spec, when all limiters run, and for each command.
type hostAnswer struct {
	Error        string  `json:"error,omitempty"`
	Address      string  `json:"address,omitempty"` // of the counter
	HeapBytes    float64 `json:"heap"`              // bytes that are in use after a collection
	StartSeconds float64 `json:"began"`             // seconds that it took to make all limiters
}

// descriptorTableSize is how many descriptors each limiter's poller has places for: the table is the process's.
const descriptorTableSize = 1 << 12

// HostMain runs hollow limiters as in tells until it ends.
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
			return nil // the harness has ended
		}
		if err := answers.Encode(execute(command)); err != nil {
			return err
		}
	}
}

// counterMain runs a counter's stand-in until in ends.
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

// startHollowLimiter runs one limiter for as long as the process lives.
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
	return hostAnswer{Error: fmt.Sprintf("command %q is not known", command.Command)}
}

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
