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
	callTimeout     = 10 * time.Second // of the harness's own calls to the source
	entryValueBytes = 200              // size of each entry's value, bytes
)

// zones are the zones of the fleet. The source is in the first one, and the first two are in its region.
var zones = []zone{{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}, {"west-2", "west"}}

type zone struct{ name, region string }

// Options describe the fleet of a run and its size.
type Options struct {
	Programs     Programs
	HostCommand  []string // command and arguments of a host process; it is started with HostVariable set
	Dir          string   // for the run's files
	Hollow       int      // number of hollow limiters
	Hosts        int      // number of host processes over which the hollow limiters are spread
	Real         int      // number of real limiters
	RelaysInZone int
	Entries      int       // number of entries in the published state
	Log          io.Writer // receives the hosts' standard error
}

// relayProcess is a relay with its link to the source.
type relayProcess struct {
	*Process
	distribution.RelayAddress
	region     string
	sourceLink *link
	port       *ports.Reserved // the relay's port, reserved also while the relay is down
}

// link is a proxied connection path that can be cut and restored, up to maxCuts times.
type link struct {
	*faultproxy.Proxy
	farZone  string // zone of the proxied server
	nearZone string // zone of the clients
	step     int64  // step of the proxy's script; the link is cut while it is odd
}

// maxCuts is how often the script of a link can cut it.
const maxCuts = 8

// newLink creates a link whose script cuts it at each odd step.
func newLink(nearZone, farZone, address string) (*link, error) {
	var script []faultproxy.Fault
	for i := range int64(maxCuts) {
		script = append(script, faultproxy.Fault{Kind: faultproxy.Cut, From: 2*i + 1, Until: 2*i + 2})
	}
	proxy, err := faultproxy.New(nearZone, farZone, address, script, 1)
	return &link{Proxy: proxy, nearZone: nearZone, farZone: farZone}, err
}

// setCut cuts or restores the link. It does nothing if the link is already in that state.
func (l *link) setCut(cut bool) error {
	if cut == (l.step%2 == 1) {
		return nil
	}
	l.step++
	return l.Step(l.step)
}

// hollowLimiter is a hollow limiter with its zone.
type hollowLimiter struct {
	hollowSpec
	zone zone
}

// hostProcess is a host process with its pipes. The bytes over the pipes belong to the harness and are subtracted from
// the host's usage.
type hostProcess struct {
	command   *exec.Cmd
	in        io.WriteCloser
	limiters  []hollowLimiter
	mutex     sync.Mutex
	pipeBytes int64         // read and written over the pipes; guarded by mutex
	ended     chan struct{} // closed when the process has exited
}

// Fleet is a running source with its relays, hosts and real limiters. Its methods must be called from one goroutine.
type Fleet struct {
	options        Options
	source         *Process
	sourcePort     *ports.Reserved // on which the source listens
	client         *transport.Client
	relays         []*relayProcess
	relayLinks     map[[2]string]*link // links from a zone to a relay in another zone, by zone and relay name
	hollow         []hollowLimiter
	hosts          []*hostProcess
	real           []*realLimiter
	applyLog       *applyLog
	latest         distribution.Version // newest published version
	publishedCount int                  // number of calls of publish
}

// StartFleet starts a source with a published state, its relays and all limiters. It does not wait until the limiters
// have applied the state. Errors: *StartError, *ports.KeepError, and those of transport.Client.
func StartFleet(options Options) (*Fleet, error) {
	f := &Fleet{options: options, applyLog: newApplyLog(), relayLinks: map[[2]string]*link{}}
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
	f.sourcePort, err = ports.Reserve()
	if err != nil {
		return err
	}
	f.source, err = f.options.Programs.StartSource(dir, f.sourcePort)
	if err != nil {
		return err
	}
	f.client = transport.NewClient(f.sourcePort.Address(), callTimeout)
	if err := f.publishState(); err != nil {
		return err
	}
	for _, z := range zones {
		for i := range f.options.RelaysInZone {
			if err := f.addRelay(z, fmt.Sprintf("%s-%d", z.name, i)); err != nil {
				return err
			}
		}
	}
	if err := f.placeHollow(); err != nil {
		return err
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	for i := range f.options.Real {
		servers, err := f.relayServers(zones[i%len(zones)], i/len(zones))
		if err != nil {
			return err
		}
		limiter, err := startRealLimiter(f.options.Programs, f.options.Dir, i, servers)
		if err != nil {
			return err
		}
		f.real = append(f.real, limiter)
	}
	return nil
}

// publishState publishes the initial state: one third of the entries for all limiters, and one third for each region.
func (f *Fleet) publishState() error {
	scopes := []string{"", "east", "west"}
	value := fmt.Sprintf("%0*d", entryValueBytes, 0)
	for from := 0; from < f.options.Entries; from += distribution.MaxMutations {
		var mutations []distribution.Mutation
		for i := from; i < min(from+distribution.MaxMutations, f.options.Entries); i++ {
			mutations = append(
				mutations,
				distribution.Mutation{Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindTenants,
					Scope: scopes[i%len(scopes)], Name: fmt.Sprintf("tenant-%d", i)}, Value: value}},
			)
		}
		if _, err := f.publishMutations(mutations); err != nil {
			return err
		}
	}
	return nil
}

// publishMutations publishes mutations as one change and returns its version.
func (f *Fleet) publishMutations(mutations []distribution.Mutation) (distribution.Version, error) {
	change, err := f.client.Publish(
		context.Background(),
		transport.Publication{Epoch: 1, Mutations: mutations},
		callTimeout,
	)
	if err != nil {
		return distribution.Version{}, err
	}
	f.latest = change.Version
	return f.latest, nil
}

// publication is a published version with the time just before its publication.
type publication struct {
	version distribution.Version
	at      time.Time
}

// publish publishes a change that concerns every limiter and moves each real limiter to its other discovery stub.
func (f *Fleet) publish() (publication, error) {
	f.publishedCount++
	mutations := []distribution.Mutation{
		{Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindPlans, Name: "gold"},
			Value: fmt.Sprintf(`{"rate":%d}`, f.publishedCount)}},
	}
	for _, l := range f.real {
		mutations = append(mutations, l.moveMutation())
	}
	at := time.Now()
	version, err := f.publishMutations(mutations)
	return publication{version, at}, err
}

func (f *Fleet) addRelay(z zone, name string) error {
	sourceLink, err := newLink(z.name, "source", f.sourcePort.Address())
	if err != nil {
		return err
	}
	port, err := ports.Reserve()
	if err != nil {
		sourceLink.Close()
		return err
	}
	r := &relayProcess{region: z.region, sourceLink: sourceLink, port: port}
	r.RelayAddress = distribution.RelayAddress{Name: name, Zone: z.name, Address: port.Address()}
	f.relays = append(f.relays, r)
	return f.startRelay(r)
}

func (f *Fleet) startRelay(r *relayProcess) (err error) {
	r.Process, err = f.options.Programs.StartRelay(r.sourceLink.Address(), r.Zone, r.Name, r.port)
	return err
}

// relayServers returns the addresses of the two relays of the limiter at a position in a zone. A relay in another zone
// is reached through a link.
func (f *Fleet) relayServers(z zone, position int) (servers [2]string, err error) {
	var candidates []distribution.RelayAddress
	for _, r := range f.relays {
		candidates = append(candidates, r.RelayAddress)
	}
	chosen, err := distribution.ChooseRelays(candidates, z.name, position)
	if err != nil {
		return servers, err
	}
	for i, r := range chosen {
		servers[i] = r.Address
		if r.Zone == z.name {
			continue
		}
		key := [2]string{z.name, r.Name}
		if f.relayLinks[key] == nil {
			f.relayLinks[key], err = newLink(z.name, r.Zone, r.Address)
			if err != nil {
				return servers, err
			}
		}
		servers[i] = f.relayLinks[key].Address()
	}
	return servers, nil
}

// placeHollow assigns the hollow limiters to the zones in turn.
func (f *Fleet) placeHollow() error {
	for i := range f.options.Hollow {
		z := zones[i%len(zones)]
		servers, err := f.relayServers(z, i/len(zones))
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
	h.command = exec.Command(f.options.HostCommand[0], f.options.HostCommand[1:]...)
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
	go f.readApplied(h, out)
	spec := hostSpec{StateDir: stateDir}
	for _, l := range h.limiters {
		spec.Limiters = append(spec.Limiters, l.hollowSpec)
	}
	return h.send(spec)
}

// readApplied adds the versions that a host reports to the apply log, until the host exits.
func (f *Fleet) readApplied(h *hostProcess, out io.Reader) {
	defer close(h.ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		h.addPipeBytes(len(lines.Bytes()) + 1)
		var record appliedVersion
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			f.applyLog.add(record)
		}
	}
	_ = h.command.Wait()
}

// send writes a message to the host, as one line of JSON.
func (h *hostProcess) send(message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	h.addPipeBytes(len(encoded) + 1)
	_, err = h.in.Write(append(encoded, '\n'))
	return err
}

func (h *hostProcess) addPipeBytes(count int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pipeBytes += int64(count)
}

// usage returns what the host has used, without the bytes over its pipes. Errors: *procfs.Error.
func (h *hostProcess) usage() (usage, error) {
	u, err := readUsage(h.command.Process.Pid)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	u.bytes -= h.pipeBytes
	return u, err
}

func (h *hostProcess) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// hollowNumbers returns the numbers of the hollow limiters that match.
func (f *Fleet) hollowNumbers(match func(hollowLimiter) bool) (numbers []int) {
	for _, l := range f.hollow {
		if match(l) {
			numbers = append(numbers, l.Number)
		}
	}
	return numbers
}

// awaitVersion waits until all limiters have applied a version or a newer one at or after from, and reports whether
// they did so within the timeout.
func (f *Fleet) awaitVersion(
	limiters []int, version distribution.Version, from time.Time, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if f.applyLog.allApplied(limiters, version, from) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// setPartition cuts or restores every link between a zone inside and one outside. The source counts as in the first
// zone.
func (f *Fleet) setPartition(cut bool, inside func(zone string) bool) error {
	for _, l := range f.relayLinks {
		if inside(l.nearZone) != inside(l.farZone) {
			if err := l.setCut(cut); err != nil {
				return err
			}
		}
	}
	for _, r := range f.relays {
		if inside(r.Zone) != inside(zones[0].name) {
			if err := r.sourceLink.setCut(cut); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stop kills all processes, and closes the links and ports.
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
		r.sourceLink.Close()
		r.port.Close()
	}
	for _, l := range f.relayLinks {
		if l != nil {
			l.Close()
		}
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.source != nil {
		f.source.Kill()
	}
	if f.sourcePort != nil {
		f.sourcePort.Close()
	}
}
