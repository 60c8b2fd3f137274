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
	deaf     bool
	closed   bool
	conns    map[*conn]struct{}
	made     uint64 // connections so far
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
func (l *Proxy) Address() string { return l.port.Address() }

// SetRefusing makes it refuse new connections, as the far side's machine does while nobody listens there, or take them
// again.
func (l *Proxy) SetRefusing(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(!on && !l.closed, l.deaf)
}

// Step applies what the script says for now.
func (l *Proxy) Step(now int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = now
	whole := func(i int) bool { return l.script[i].Share == 0 || l.script[i].Share == 1 }
	err := l.set(l.listener != nil, conditionOf(l.script, now, whole).deaf)
	for c := range l.conns {
		c.set(conditionOf(l.script, now, c.hit))
	}
	return err
}

// set is the one function that changes what the link does with new connections: whether it listens, and whether what
// comes to the listener is dropped, so that a connection neither comes up nor is refused.
func (l *Proxy) set(listens, deaf bool) (err error) {
	if listens != (l.listener != nil) {
		if !listens {
			_ = l.listener.Close()
			l.listener = nil
		} else if l.listener, err = l.port.Listen(); err != nil {
			l.listener = nil
			return &ListenError{l.near, l.far, err}
		} else {
			l.deaf = false
			go l.accept(l.listener)
		}
	}
	if l.listener != nil && deaf != l.deaf {
		if err := filter(l.listener, deaf); err != nil {
			return &ListenError{l.near, l.far, err}
		}
	}
	l.deaf = deaf
	return nil
}

// filter has the kernel drop all that comes to a listener, or no longer.
func filter(l net.Listener, on bool) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	_ = raw.Control(func(fd uintptr) {
		if on {
			keepNothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			program := &unix.SockFprog{Len: 1, Filter: &keepNothing}
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
		} else {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	})
	return err
}

// accept takes connections until the listener is closed.
func (l *Proxy) accept(from net.Listener) {
	for {
		near, err := from.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.made++
		c := newConn(l, near, rand.New(rand.NewPCG(l.seed, l.made)))
		c.set(conditionOf(l.script, l.now, c.hit))
		if l.closed {
			c.cutOff()
		} else {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		go c.run(l.address)
	}
}

// forget drops a connection that is over.
func (l *Proxy) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close ends the link and resets its connections.
func (l *Proxy) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.set(false, false)
	for c := range l.conns {
		c.cutOff()
	}
	l.mu.Unlock()
	l.port.Close()
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

// dialWithin is how long the far side may take to accept; on loopback it is there or refuses at once.
const dialWithin = 2 * time.Second
