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

// ListenError is a link that could not listen, or could not be made deaf.
type ListenError struct {
	Near, Far string // the parties
	Cause     error
}

// Error says what happened.
func (e *ListenError) Error() string {
	return fmt.Sprintf("the link from %s to %s: %v", e.Near, e.Far, e.Cause)
}

// Hint says what to do about it.
func (e *ListenError) Hint() string {
	return "let the lab open more files (ulimit -n); a link needs plain TCP on Linux, which lets a socket filter drop what comes"
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Proxy is the network from one party to another.
type Proxy struct {
	near, far string
	address   string // where the far side listens
	script    []Fault
	seed      uint64
	port      *ports.Kept

	mu       sync.Mutex
	now      int64
	listener net.Listener // nil while it refuses
	dropNew  bool
	closed   bool
	conns    map[*conn]struct{}
	accepted uint64 // connections so far
}

// New makes a link to the far side's address and listens for the near side.
func New(near, far, address string, script []Fault, seed uint64) (*Proxy, error) {
	port, err := ports.Keep()
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

// Address is where the near side calls.
func (p *Proxy) Address() string { return p.port.Address() }

// SetRefusing makes it refuse new connections, as the far side's machine does while nobody listens there, or take them
// again.
func (p *Proxy) SetRefusing(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.setListener(!on && !p.closed, p.dropNew)
}

// Step applies what the script says for now.
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

// setListener is the one function that changes what the link does with new connections: whether it listens, and whether what
// comes to the listener is dropped, so that a connection neither comes up nor is refused.
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

// setDropFilter has the kernel drop all that comes to a listener, or no longer.
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

// accept takes connections until the listener is closed.
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

// remove drops a connection that is over.
func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Close ends the link and resets its connections.
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

// Network is a set of links by the names of their parties. Its methods may be called from any goroutine.
type Network struct {
	seed  uint64
	mu    sync.Mutex
	links map[[2]string]*Proxy
}

// NewNetwork makes a network without links; all chance in it comes from seed.
func NewNetwork(seed uint64) *Network { return &Network{seed: seed, links: map[[2]string]*Proxy{}} }

// Join puts a link between two parties; an empty script puts none.
func (n *Network) Join(near, far, address string, script []Fault) error {
	if len(script) == 0 {
		return nil
	}
	seed := n.seed
	for _, b := range []byte(near + "-" + far) { // FNV-1a over the names, so that links do not share their draws
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

// Address is where near reaches far: the link's address, or direct where there is no link.
func (n *Network) Address(near, far, direct string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[[2]string{near, far}]; l != nil {
		return l.Address()
	}
	return direct
}

// each calls do for every link and gives the first error.
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

// Step applies what all scripts say for now.
func (n *Network) Step(now int64) error { return n.each(func(l *Proxy) error { return l.Step(now) }) }

// SetRefusing makes all links to a party refuse, or take connections again.
func (n *Network) SetRefusing(far string, on bool) error {
	return n.each(func(l *Proxy) error {
		if l.far != far {
			return nil
		}
		return l.SetRefusing(on)
	})
}

// Close ends all links.
func (n *Network) Close() { _ = n.each(func(l *Proxy) error { l.Close(); return nil }) }

// dialTimeout is how long the far side may take to accept; on loopback it is there or refuses at once.
const dialTimeout = 2 * time.Second
