package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter is the counter: it adds amounts to named numbers.
type Counter struct {
	Record *Record

	mutex    sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	totals   map[string]float64
	ends     map[string]time.Time
}

// Start starts the counter, empty, at its earlier address if it had one.
func (c *Counter) Start() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address := c.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.listener, c.address = listener, listener.Addr().String()
	c.conns, c.totals, c.ends = map[net.Conn]bool{}, map[string]float64{}, map[string]time.Time{}
	go c.accept(listener)
	return nil
}

// Address is where the counter listens.
func (c *Counter) Address() string { return c.address }

// Stop ends the counter as a process that dies: its connections are reset, new ones are refused, its counts are lost.
func (c *Counter) Stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.listener.Close()
	for conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (c *Counter) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c.mutex.Lock()
		c.conns[conn] = true
		c.mutex.Unlock()
		go c.serve(conn)
	}
}

func (c *Counter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(c.answer(strings.Fields(line)) + "\r\n")); err != nil {
			return
		}
	}
}

func (c *Counter) answer(words []string) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "tally" {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	life, lifeErr := strconv.ParseFloat(words[3], 64)
	if err != nil || lifeErr != nil || life < 1 {
		return "error"
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	name, now := words[1], time.Now()
	if end, found := c.ends[name]; !found || now.After(end) {
		c.totals[name] = 0
		c.ends[name] = now.Add(time.Duration(min(life, 60000) * float64(time.Millisecond)))
	}
	c.totals[name] += amount
	return fmt.Sprintf("ok %.7g", c.totals[name])
}
