package emulator

import (
	"net"
	"sync"

	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/resp"
)

// port is a stand-in's listening socket and the connections it accepted; it keeps its address across restarts.
type port struct {
	mu       sync.Mutex
	kept     *ports.Kept
	listener net.Listener
	conns    map[net.Conn]struct{}
	up       bool
}

// open listens on the port kept for it, and hands each connection to serve.
func (p *port) open(serve func(net.Conn)) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept == nil {
		p.kept, err = ports.Keep()
		if err != nil {
			return err
		}
	}
	l, err := p.kept.Listen()
	if err != nil {
		return err
	}
	p.listener = l
	p.up = true
	p.conns = map[net.Conn]struct{}{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			if !p.up {
				p.mu.Unlock()
				_ = c.Close()
				return
			}
			p.conns[c] = struct{}{}
			p.mu.Unlock()
			go func() {
				serve(c)
				p.mu.Lock()
				delete(p.conns, c)
				p.mu.Unlock()
			}()
		}
	}()
	return nil
}

// where is the address, once opened.
func (p *port) where() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept == nil {
		return ""
	}
	return p.kept.Address()
}

// release shuts it for good and gives its address up.
func (p *port) release() {
	p.shut()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept != nil {
		p.kept.Close()
	}
}

// isUp says whether it listens.
func (p *port) isUp() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.up }

// shut ends it as a crash would: the port refuses and every connection is reset; false if it was shut already.
func (p *port) shut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return false
	}
	p.up = false
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]struct{}{}
	return true
}

// reset closes c with a reset rather than an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Commands reads RESP2 commands from c and hands each to each, in order, until c ends, each returns false, or
// bytes come that are no command; the error is then the parser's, nil at an end or a stop.
func Commands(c net.Conn, each func(words [][]byte) bool) error {
	var held []byte
	chunk := make([]byte, 16<<10)
	for {
		n, err := c.Read(chunk)
		if err != nil {
			return nil
		}
		held = append(held, chunk[:n]...)
		for {
			words, used, err := resp.ReadCommand(held, nil)
			if err != nil {
				return err
			}
			if used == 0 {
				break
			}
			held = held[used:]
			if !each(words) {
				return nil
			}
		}
		held = append([]byte(nil), held...) // words handed out point into the old bytes
	}
}
