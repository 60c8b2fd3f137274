package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a command that reached a server whole.
type Attempt struct {
	Server     string
	ID         string
	FirstByte  time.Time
	LastByte   time.Time
	AnsweredAt time.Time
}

// Server is a stand-in of a server: it answers each command after some work.
type Server struct {
	ID, Address string
	Work        time.Duration
	mutex       sync.Mutex
	attempts    []Attempt
}

// NewServer starts a server.
func NewServer(c *Case, id string, work time.Duration) *Server {
	s := &Server{ID: id, Address: c.Address(), Work: work}
	listener, err := net.Listen("tcp", s.Address)
	c.Must(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Entry is the server's entry in discovery's list.
func (s *Server) Entry() Entry {
	return Entry{ID: s.ID, Address: s.Address, Zone: "a", Machine: "m1", Cell: 1, Lifecycle: "in_service", Weight: 1}
}

// Attempts returns the commands so far.
func (s *Server) Attempts() []Attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Attempt{}, s.attempts...)
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 128<<10)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		answer := "+OK\r\n"
		if strings.HasPrefix(words[0], "SVC.") && len(words) >= 4 {
			last := time.Now()
			time.Sleep(s.Work)
			s.mutex.Lock()
			s.attempts = append(s.attempts, Attempt{s.ID, words[2], first, last, time.Now()})
			s.mutex.Unlock()
			value := s.ID + " did " + words[2]
			answer = fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) (words []string, err error) {
	count, err := readCount(reader, '*')
	if err != nil {
		return nil, err
	}
	for range count {
		size, err := readCount(reader, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		words = append(words, string(text[:size]))
	}
	if len(words) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return words, nil
}

func readCount(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil || len(line) < 3 || line[0] != kind {
		return 0, io.ErrUnexpectedEOF
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// StartCounter starts a counter and returns its address. Names live as long as their first call says.
func StartCounter(c *Case) string {
	type total struct {
		value float64
		ends  time.Time
	}
	address := c.Address()
	listener, err := net.Listen("tcp", address)
	c.Must(err)
	var mutex sync.Mutex
	totals := map[string]total{}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		lines := bufio.NewScanner(conn)
		for lines.Scan() {
			words := strings.Fields(lines.Text())
			answer := "error\r\n"
			if len(words) == 1 && words[0] == "ping" {
				answer = "pong\r\n"
			}
			if len(words) == 4 && words[0] == "tally" {
				amount, _ := strconv.ParseFloat(words[2], 64)
				life, _ := strconv.Atoi(words[3])
				mutex.Lock()
				t, found := totals[words[1]]
				if !found || time.Now().After(t.ends) {
					t = total{0, time.Now().Add(time.Duration(min(life, 60000)) * time.Millisecond)}
				}
				t.value += amount
				totals[words[1]] = t
				mutex.Unlock()
				answer = "ok " + strconv.FormatFloat(t.value, 'g', 7, 64) + "\r\n"
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return address
}

// Client is a client's connection.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Command encodes a command.
func Command(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// Send sends a command and returns the first line of the answer, and for a value the value.
func (c *Client) Send(timeout time.Duration, words ...string) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.conn, Command(words...)); err != nil {
		return "", err
	}
	return c.Answer()
}

// Answer reads an answer.
func (c *Client) Answer() (string, error) {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSpace(line)
	if size, err := strconv.Atoi(strings.TrimPrefix(line, "$")); strings.HasPrefix(line, "$") && err == nil && size >= 0 {
		text := make([]byte, size+2)
		if _, err := io.ReadFull(c.reader, text); err != nil {
			return "", err
		}
		return string(text[:size]), nil
	}
	return line, nil
}

// Request sends one request of the class fetch on a connection of its own and returns its outcome in a word.
func Request(listen, id string) string {
	client, err := Dial(listen)
	if err != nil {
		return "not connected"
	}
	defer client.Close()
	answer, err := client.Send(2500*time.Millisecond, "SVC.QUERY", "00000000000000a1", id,
		"c=fetch,t=group,d=2500,units=1,spread=1,first=0")
	switch {
	case err != nil:
		return "no answer"
	case strings.HasPrefix(answer, "-"):
		word, _, _ := strings.Cut(answer, " ")
		return word
	}
	return "served"
}
