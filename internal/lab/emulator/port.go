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
	reserved *ports.Kept
	listener net.Listener
	conns    map[net.Conn]struct{}
	up       bool
}

// open listens on the port kept for it, and hands each connection to serve.
func (p *port) open(serve func(net.Conn)) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		p.reserved, err = ports.Keep()
		if err != nil {
			return err
		}
	}
	l, err := p.reserved.Listen()
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

// address is the address, once opened.
func (p *port) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		return ""
	}
	return p.reserved.Address()
}

// close shuts it for good and gives its address up.
func (p *port) close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved != nil {
		p.reserved.Close()
	}
}

// isUp says whether it listens.
func (p *port) isUp() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.up }

// stop ends it as a crash would: the port refuses and every connection is reset; false if it was stop already.
func (p *port) stop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return false
	}
	p.up = false
	_ = p.listener.Close()
	for c := range p.conns {
		resetConn(c)
	}
	p.conns = map[net.Conn]struct{}{}
	return true
}

// resetConn closes c with a resetConn rather than an orderly end.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Commands reads RESP2 commands from c and hands each to each, in order, until c ends, each returns false, or
// bytes come that are no command; the error is then the parser's, nil at an end or a stop.
func Commands(c net.Conn, handle func(words [][]byte) bool) error {
	var buffer []byte
	chunk := make([]byte, 16<<10)
	for {
		n, err := c.Read(chunk)
		if err != nil {
			return nil
		}
		buffer = append(buffer, chunk[:n]...)
		for {
			words, consumed, err := resp.ReadCommand(buffer, nil)
			if err != nil {
				return err
			}
			if consumed == 0 {
				break
			}
			buffer = buffer[consumed:]
			if !handle(words) {
				return nil
			}
		}
		buffer = append([]byte(nil), buffer...) // words handed out point into the old bytes
	}
}
