package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/ports"
)

// ListenError reports that a link failed to listen, or to start or stop dropping new connections.
type ListenError struct {
	Near, Far string // the parties
	Cause     error
}

// Error implements the error interface.
func (e *ListenError) Error() string {
	return fmt.Sprintf("link from %s to %s: %v", e.Near, e.Far, e.Cause)
}

// Hint tells the operator how to resolve the error.
func (e *ListenError) Hint() string {
	return "raise the lab's limit of open files (ulimit -n); a link needs Linux, plain TCP and socket filters"
}

// Unwrap returns Cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Proxy forwards the connections from one party to another, subject to a script of faults.
type Proxy struct {
	near, far string
	address   string // where the far side listens
	script    []Fault
	seed      uint64
	port      *ports.Reserved

	mu       sync.Mutex
	now      int64
	listener net.Listener // nil while connections are refused
	dropNew  bool
	closed   bool
	conns    map[*conn]struct{}
	accepted uint64 // connections so far; each seeds its own random numbers
}

// New returns a proxy that listens for the near side and forwards to the far side's address. Its errors are
// *ListenError.
func New(near, far, address string, script []Fault, seed uint64) (*Proxy, error) {
	port, err := ports.Reserve()
	if err != nil {
		return nil, &ListenError{near, far, err}
	}
	l := &Proxy{
		near:    near,
		far:     far,
		address: address,
		script:  script,
		seed:    seed,
		port:    port,
		conns:   map[*conn]struct{}{},
	}
	if err := l.SetRefusing(false); err != nil {
		port.Close()
		return nil, err
	}
	return l, nil
}

// Address is the HOST:PORT to which the near side connects.
func (p *Proxy) Address() string { return p.port.Address() }

// SetRefusing makes the link refuse new connections, as the far side's machine does while no process listens there, or
// accept them again.
func (p *Proxy) SetRefusing(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.setListener(!on && !p.closed, p.dropNew)
}

// Step applies the faults that are active at now, in nanoseconds on the caller's clock.
func (p *Proxy) Step(now int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = now
	hitsAll := func(i int) bool { return p.script[i].Share == 0 || p.script[i].Share == 1 }
	err := p.setListener(p.listener != nil, conditionOf(p.script, now, hitsAll).dropNew)
	for c := range p.conns {
		c.setCondition(conditionOf(p.script, now, c.affected))
	}
	return err
}

// setListener is the only function that changes how new connections are handled: whether the link listens, and whether
// packets to the listener are dropped, so that a connection is neither established nor refused. The caller holds p.mu.
func (p *Proxy) setListener(listen, dropNew bool) (err error) {
	if listen != (p.listener != nil) {
		if !listen {
			_ = p.listener.Close()
			p.listener = nil
		} else if p.listener, err = p.port.Listen(); err != nil {
			p.listener = nil
			return &ListenError{p.near, p.far, err}
		} else {
			p.dropNew = false
			go p.accept(p.listener)
		}
	}
	if p.listener != nil && dropNew != p.dropNew {
		if err := setDropFilter(p.listener, dropNew); err != nil {
			return &ListenError{p.near, p.far, err}
		}
	}
	p.dropNew = dropNew
	return nil
}

// setDropFilter makes the kernel drop all packets to a listener, or stop dropping them.
func setDropFilter(l net.Listener, drop bool) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	_ = raw.Control(func(fd uintptr) {
		if drop {
			dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			program := &unix.SockFprog{Len: 1, Filter: &dropAll}
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
		} else {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	})
	return err
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.accepted++
		c := newConn(p, near, rand.New(rand.NewPCG(p.seed, p.accepted)))
		c.setCondition(conditionOf(p.script, p.now, c.affected))
		if p.closed {
			c.reset()
		} else {
			p.conns[c] = struct{}{}
		}
		p.mu.Unlock()
		go c.run(p.address)
	}
}

// remove removes a closed connection from the link's set.
func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Close stops listening, resets all connections and releases the port.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.setListener(false, false)
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.port.Close()
}

// Network is a set of links, keyed by the names of their parties. Its methods are safe for concurrent use.
type Network struct {
	seed  uint64
	mu    sync.Mutex
	links map[[2]string]*Proxy
}

// NewNetwork returns a network without links. All of its random choices derive from seed.
func NewNetwork(seed uint64) *Network { return &Network{seed: seed, links: map[[2]string]*Proxy{}} }

// Join creates a link between two parties. With an empty script it creates none.
func (n *Network) Join(near, far, address string, script []Fault) error {
	if len(script) == 0 {
		return nil
	}
	seed := n.seed
	for _, b := range []byte(near + "-" + far) { // FNV-1a over the names: each link has its own random sequence
		seed = (seed ^ uint64(b)) * 0x100000001b3
	}
	l, err := New(near, far, address, script, seed)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{near, far}] = l
	return nil
}

// Address returns the address at which near reaches far: the link's address, or direct if there is no link.
func (n *Network) Address(near, far, direct string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[[2]string{near, far}]; l != nil {
		return l.Address()
	}
	return direct
}

// each calls do for every link and returns the first error.
func (n *Network) each(do func(*Proxy) error) (err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if e := do(l); e != nil && err == nil {
			err = e
		}
	}
	return err
}

// Step calls Proxy.Step on every link and returns the first error.
func (n *Network) Step(now int64) error { return n.each(func(l *Proxy) error { return l.Step(now) }) }

// SetRefusing calls Proxy.SetRefusing on every link to a party.
func (n *Network) SetRefusing(far string, on bool) error {
	return n.each(func(l *Proxy) error {
		if l.far != far {
			return nil
		}
		return l.SetRefusing(on)
	})
}

// Close closes all links.
func (n *Network) Close() { _ = n.each(func(l *Proxy) error { l.Close(); return nil }) }

// dialTimeout bounds the dial to the far side, which on loopback succeeds or is refused at once.
const dialTimeout = 2 * time.Second
