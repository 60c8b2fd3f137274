package kit

import (
	"io"
	"net"
	"strings"
	"sync"
)

// Proxy passes connections on to a target that can change: the address of a service behind which the operators put
// another machine. While it has no target it closes what comes. A change of the target closes the open connections.
type Proxy struct {
	Address string
	mutex   sync.Mutex
	target  string
	open    map[net.Conn]bool
	asked   []string // the first lines of HTTP calls that came while the present target was set
}

// NewProxy starts a proxy.
func NewProxy(c *Case, target string) *Proxy {
	p := &Proxy{Address: c.Address(), target: target, open: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", p.Address)
	c.Must(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// Point sets the target; an empty one for none.
func (p *Proxy) Point(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
	p.asked = nil
	for conn := range p.open {
		_ = conn.Close()
	}
	clear(p.open)
}

// Asked reports whether a call whose first line has the text came for the present target.
func (p *Proxy) Asked(text string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.asked {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func (p *Proxy) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.mutex.Lock()
	target := p.target
	if target == "" {
		p.mutex.Unlock()
		return
	}
	p.open[conn] = true
	p.mutex.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.mutex.Lock()
	if p.target != target {
		p.mutex.Unlock()
		return
	}
	p.open[server] = true
	p.mutex.Unlock()
	go func() {
		_, _ = io.Copy(conn, server)
		_ = conn.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
			p.mutex.Lock()
			if p.target == target {
				p.asked = append(p.asked, line)
			}
			p.mutex.Unlock()
			if _, err := server.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
