package distbench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/lab/ports"
)

const (
	callTimeout = 10 * time.Second // of the harness's own calls at the source
	stateFill   = 200              // bytes of an entry's value
)

// zones are the zones of the fleet, the first two of the source's region.
var zones = []zone{{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}, {"west-2", "west"}}

type zone struct{ name, region string }

// Options are the size of a run.
type Options struct {
	Programs     Programs
	Host         []string // the command of a host, whose environment has HostVariable
	Dir          string   // of the run's files
	Hollow       int      // hollow limiters
	Hosts        int      // processes of them
	Real         int      // real limiters
	RelaysInZone int
	Entries      int // of the state
	Log          io.Writer
}

// relayProcess is a relay with the ways to it.
type relayProcess struct {
	*Process
	distribution.RelayAddress
	region   string
	toSource *wire
	port     *ports.Kept // its own, also while it is down
}

// wire is a link that is cut and healed any number of times.
type wire struct {
	*faultproxy.Proxy
	far  string // the zone of the far side
	near string
	now  int64
}

const maxCuts = 8

// newWire makes a link whose script cuts it at each odd time.
func newWire(near, far, address string) (*wire, error) {
	var script []faultproxy.Fault
	for i := range int64(maxCuts) {
		script = append(script, faultproxy.Fault{Kind: faultproxy.Cut, From: 2*i + 1, Until: 2*i + 2})
	}
	l, err := faultproxy.New(near, far, address, script, 1)
	return &wire{Proxy: l, near: near, far: far}, err
}

// cut cuts the wire or heals it; it does nothing where it is so already.
func (w *wire) cut(on bool) error {
	if on == (w.now%2 == 1) {
		return nil
	}
	w.now++
	return w.Step(w.now)
}

// hollowLimiter is where a hollow limiter is.
type hollowLimiter struct {
	hollowSpec
	zone zone
}

// hostProcess is a host with its pipes. The bytes over them are no traffic of the limiters.
type hostProcess struct {
	command  *exec.Cmd
	in       io.WriteCloser
	limiters []hollowLimiter
	mutex    sync.Mutex
	piped    int64
	ended    chan struct{}
}

// Fleet is the distribution at its size. It is for one goroutine.
type Fleet struct {
	options  Options
	source   *Process
	port     *ports.Kept // the source's
	client   *transport.Client
	relays   []*relayProcess
	wires    map[[2]string]*wire // from a zone to a relay of another one, by zone and relay's name
	hollow   []hollowLimiter
	hosts    []*hostProcess
	real     []*realLimiter
	ledger   *ledger
	head     distribution.Version
	versions int // published
}

// StartFleet starts a source with a state, its relays and all limiters; it does not wait until they have the state.
// Errors: *StartError, *ports.KeepError, and those of transport.Client.
func StartFleet(options Options) (*Fleet, error) {
	f := &Fleet{options: options, ledger: newLedger(), wires: map[[2]string]*wire{}}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	dir := filepath.Join(f.options.Dir, "source")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f.port, err = ports.Keep()
	if err != nil {
		return err
	}
	f.source, err = f.options.Programs.StartSource(dir, f.port)
	if err != nil {
		return err
	}
	f.client = transport.NewClient(f.port.Address(), callTimeout)
	if err := f.fill(); err != nil {
		return err
	}
	for _, z := range zones {
		for i := range f.options.RelaysInZone {
			if err := f.addRelay(z, fmt.Sprintf("%s-%d", z.name, i)); err != nil {
				return err
			}
		}
	}
	if err := f.place(); err != nil {
		return err
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	for i := range f.options.Real {
		servers, err := f.servers(zones[i%len(zones)], i/len(zones))
		if err != nil {
			return err
		}
		one, err := startReal(f.options.Programs, f.options.Dir, i, servers)
		if err != nil {
			return err
		}
		f.real = append(f.real, one)
	}
	return nil
}

// fill publishes the state: a third for every limiter, and a third for each region.
func (f *Fleet) fill() error {
	scopes := []string{"", "east", "west"}
	value := fmt.Sprintf("%0*d", stateFill, 0)
	for from := 0; from < f.options.Entries; from += distribution.MaxMutations {
		var mutations []distribution.Mutation
		for i := from; i < min(from+distribution.MaxMutations, f.options.Entries); i++ {
			mutations = append(
				mutations,
				distribution.Mutation{Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindTenants,
					Scope: scopes[i%len(scopes)], Name: fmt.Sprintf("tenant-%d", i)}, Value: value}},
			)
		}
		if _, err := f.change(mutations); err != nil {
			return err
		}
	}
	return nil
}

// change publishes a change.
func (f *Fleet) change(mutations []distribution.Mutation) (distribution.Version, error) {
	change, err := f.client.Publish(
		context.Background(),
		transport.Publication{Epoch: 1, Mutations: mutations},
		callTimeout,
	)
	if err != nil {
		return distribution.Version{}, err
	}
	f.head = change.Version
	return f.head, nil
}

// publication is a version with the time just before it was published.
type publication struct {
	version distribution.Version
	at      time.Time
}

// publish publishes a change that concerns every limiter, and moves the real ones to their other place.
func (f *Fleet) publish() (publication, error) {
	f.versions++
	mutations := []distribution.Mutation{
		{Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindPlans, Name: "gold"},
			Value: fmt.Sprintf(`{"rate":%d}`, f.versions)}},
	}
	for _, l := range f.real {
		mutations = append(mutations, l.move())
	}
	at := time.Now()
	version, err := f.change(mutations)
	return publication{version, at}, err
}

func (f *Fleet) addRelay(z zone, name string) error {
	way, err := newWire(z.name, "source", f.port.Address())
	if err != nil {
		return err
	}
	port, err := ports.Keep()
	if err != nil {
		way.Close()
		return err
	}
	r := &relayProcess{region: z.region, toSource: way, port: port}
	r.RelayAddress = distribution.RelayAddress{Name: name, Zone: z.name, Address: port.Address()}
	f.relays = append(f.relays, r)
	return f.startRelay(r)
}

func (f *Fleet) startRelay(r *relayProcess) (err error) {
	r.Process, err = f.options.Programs.StartRelay(r.toSource.Address(), r.Zone, r.Name, r.port)
	return err
}

// servers are the addresses of a limiter's two relays. The way to one of another zone is a wire.
func (f *Fleet) servers(z zone, position int) (servers [2]string, err error) {
	var all []distribution.RelayAddress
	for _, r := range f.relays {
		all = append(all, r.RelayAddress)
	}
	chosen, err := distribution.ChooseRelays(all, z.name, position)
	if err != nil {
		return servers, err
	}
	for i, r := range chosen {
		servers[i] = r.Address
		if r.Zone == z.name {
			continue
		}
		key := [2]string{z.name, r.Name}
		if f.wires[key] == nil {
			f.wires[key], err = newWire(z.name, r.Zone, r.Address)
			if err != nil {
				return servers, err
			}
		}
		servers[i] = f.wires[key].Address()
	}
	return servers, nil
}

// place spreads the hollow limiters over the zones.
func (f *Fleet) place() error {
	for i := range f.options.Hollow {
		z := zones[i%len(zones)]
		servers, err := f.servers(z, i/len(zones))
		if err != nil {
			return err
		}
		f.hollow = append(f.hollow, hollowLimiter{hollowSpec{Number: i, Scope: "@" + z.region, Servers: servers}, z})
	}
	return nil
}

func (f *Fleet) startHosts() error {
	for i := range f.options.Hosts {
		h := &hostProcess{ended: make(chan struct{})}
		for n := i; n < len(f.hollow); n += f.options.Hosts {
			h.limiters = append(h.limiters, f.hollow[n])
		}
		if err := f.startHost(h, filepath.Join(f.options.Dir, "hollow")); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

func (f *Fleet) startHost(h *hostProcess, stateDir string) error {
	if err := os.MkdirAll(stateDir, 0o755); err != nil {
		return err
	}
	h.command = exec.Command(f.options.Host[0], f.options.Host[1:]...)
	h.command.Env = append(os.Environ(), HostVariable+"=1")
	h.command.Stderr = f.options.Log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := h.command.StdinPipe()
	if err != nil {
		return &StartError{What: "a host", Cause: err}
	}
	out, err := h.command.StdoutPipe()
	if err != nil {
		return &StartError{What: "a host", Cause: err}
	}
	if err := h.command.Start(); err != nil {
		return &StartError{What: "a host", Cause: err}
	}
	h.in = in
	go f.read(h, out)
	spec := hostSpec{StateDir: stateDir}
	for _, l := range h.limiters {
		spec.Limiters = append(spec.Limiters, l.hollowSpec)
	}
	return h.tell(spec)
}

// read notes what a host says until it ends.
func (f *Fleet) read(h *hostProcess, out io.Reader) {
	defer close(h.ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		h.count(len(lines.Bytes()) + 1)
		var a applied
		if json.Unmarshal(lines.Bytes(), &a) == nil {
			f.ledger.note(a)
		}
	}
	_ = h.command.Wait()
}

// tell writes a line to a host.
func (h *hostProcess) tell(what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	h.count(len(text) + 1)
	_, err = h.in.Write(append(text, '\n'))
	return err
}

func (h *hostProcess) count(bytes int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.piped += int64(bytes)
}

// usage is what the host has used, without the pipes. Errors: *procfs.Error.
func (h *hostProcess) usage() (usage, error) {
	u, err := usageOf(h.command.Process.Pid)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	u.bytes -= h.piped
	return u, err
}

func (h *hostProcess) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// all are the numbers of the hollow limiters for which a condition holds.
func (f *Fleet) all(where func(hollowLimiter) bool) (numbers []int) {
	for _, l := range f.hollow {
		if where(l) {
			numbers = append(numbers, l.Number)
		}
	}
	return numbers
}

// await waits until limiters have a version in force, and tells whether it came in time.
func (f *Fleet) await(limiters []int, version distribution.Version, from time.Time, within time.Duration) bool {
	for end := time.Now().Add(within); ; time.Sleep(pollEvery) {
		if f.ledger.inForce(limiters, version, from) {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// isolate cuts every way between the places inside and those outside, or heals it. The source is in the first zone.
func (f *Fleet) isolate(on bool, inside func(zone string) bool) error {
	for _, w := range f.wires {
		if inside(w.near) != inside(w.far) {
			if err := w.cut(on); err != nil {
				return err
			}
		}
	}
	for _, r := range f.relays {
		if inside(r.Zone) != inside(zones[0].name) {
			if err := r.toSource.cut(on); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, l := range f.real {
		l.stop()
	}
	for _, h := range f.hosts {
		h.kill()
	}
	for _, r := range f.relays {
		if r.Process != nil {
			r.Kill()
		}
		r.toSource.Close()
		r.port.Close()
	}
	for _, w := range f.wires {
		if w != nil {
			w.Close()
		}
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.source != nil {
		f.source.Kill()
	}
	if f.port != nil {
		f.port.Close()
	}
}
