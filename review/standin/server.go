package standin

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is one command of a request that a server has received whole.
type Attempt struct {
	At       time.Duration // of its last byte
	Server   string
	Customer string
	ID       string
	Class    string
	Units    float64
	Ran      bool // false if the server turned it away
}

// Servers is a set of servers that run requests. Each answers with a value that names the request.
type Servers struct {
	Record *Record
	// Work is how long a request of a class takes.
	Work map[string]time.Duration

	mutex    sync.Mutex
	draining map[string]bool
	attempts []Attempt
	listed   []net.Listener
}

// Start starts one more server and returns its address.
func (s *Servers) Start(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mutex.Lock()
	s.listed = append(s.listed, listener)
	if s.draining == nil {
		s.draining = map[string]bool{}
	}
	s.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(name, conn)
		}
	}()
	return listener.Addr().String(), nil
}

// Drain makes a server turn away what is new: it completes what it has.
func (s *Servers) Drain(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining[name] = true
}

// Attempts returns what has been received so far.
func (s *Servers) Attempts() []Attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

// Close ends all servers.
func (s *Servers) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, listener := range s.listed {
		_ = listener.Close()
	}
}

func (s *Servers) serve(name string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 8<<10)
	for {
		words, err := ReadCommand(in)
		if err != nil {
			return
		}
		if _, err := conn.Write(s.answer(name, words)); err != nil {
			return
		}
	}
}

// answer runs a command and returns the answer to it.
func (s *Servers) answer(name string, words []string) []byte {
	switch verb := strings.ToUpper(words[0]); verb {
	case "CLIENT", "SELECT":
		return []byte("+OK\r\n")
	case "SVC.QUERY", "SVC.SUBMIT":
		if len(words) < 4 {
			return []byte("-SYNTAX\r\n")
		}
	default:
		return []byte("-ERR unknown command\r\n")
	}
	units, _ := strconv.ParseFloat(Field(words[3], "units"), 64)
	a := Attempt{At: s.Record.Now(), Server: name, Customer: words[1], ID: words[2], Class: Field(words[3], "c"),
		Units: units}
	s.mutex.Lock()
	a.Ran = !s.draining[name]
	s.attempts = append(s.attempts, a)
	work, known := s.Work[a.Class]
	s.mutex.Unlock()
	s.Record.Linef("server %s got id=%s customer=%s class=%s units=%g d=%s ran=%v", name, a.ID, a.Customer, a.Class,
		a.Units, Field(words[3], "d"), a.Ran)
	if !a.Ran || !known {
		return []byte("-BUSY\r\n")
	}
	time.Sleep(work)
	value := Value(a.ID)
	return []byte("*3\r\n$" + strconv.Itoa(len(value)) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n")
}

// Value is the value that servers make for a request.
func Value(id string) string { return "value of " + id }
