package emulator

import (
	"net"
	"sync"

	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/resp"
)

// port is an emulator's listening socket with its accepted connections. It keeps its address across restarts.
type port struct {
	mu       sync.Mutex
	reserved *ports.Reserved
	listener net.Listener
	conns    map[net.Conn]struct{}
	up       bool
}

// open listens and runs serve on a goroutine for each connection. The first call reserves the port.
func (p *port) open(serve func(net.Conn)) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		p.reserved, err = ports.Reserve()
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

// address returns the listening address; it is empty before the first open.
func (p *port) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		return ""
	}
	return p.reserved.Address()
}

// close stops the port and gives up its address.
func (p *port) close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved != nil {
		p.reserved.Close()
	}
}

// isUp reports whether the port is listening.
func (p *port) isUp() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.up }

// stop ends listening as a crash does: new connections are refused and all open ones are reset. It reports whether the
// port was listening.
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

// resetConn closes c with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// ReadCommands reads RESP2 commands from c and passes each to handle, in order. It returns nil once c ends or handle
// returns false, and the parser's error for bytes that are not a command.
func ReadCommands(c net.Conn, handle func(words [][]byte) bool) error {
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
		buffer = append([]byte(nil), buffer...) // handle may have kept words that point into the old array
	}
}
