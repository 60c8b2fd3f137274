package loadgen

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// This file reads answers and derives the outcomes of requests from them.

// answerReader reads the answers of one connection, which are in the order of the commands.
type answerReader struct {
	conn   net.Conn
	buffer []byte // received and not yet parsed
}

func newAnswerReader(conn net.Conn) *answerReader { return &answerReader{conn: conn} }

// next returns the next answer. It waits until the connection's deadline.
func (r *answerReader) next() (resp.Value, error) {
	chunk := make([]byte, 4096)
	for {
		value, consumed, err := resp.ReadValue(r.buffer)
		if err != nil {
			return resp.Value{}, err
		}
		if consumed > 0 {
			r.buffer = r.buffer[consumed:]
			return value, nil
		}
		n, err := r.conn.Read(chunk)
		r.buffer = append(r.buffer, chunk[:n]...)
		if n == 0 && err != nil {
			return resp.Value{}, err
		}
	}
}

// recordOutcome sets the outcome of request from its answer, or from the error in place of one. now is when the client
// read the answer or saw the connection end, in nanoseconds.
func recordOutcome(request *history.Request, conn net.Conn, now int64, value resp.Value, err error) {
	sinceData, sinceSegment := sinceReceived(conn)
	request.Answered, request.AnswerUnread = now, sinceData
	switch {
	case errors.Is(err, io.EOF):
		request.AnswerUnread = sinceSegment
	case err != nil:
		request.AnswerUnread = 0 // the kernel does not tell when a reset came
	}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		request.Outcome = history.Unanswered
	case err != nil:
		request.Outcome = history.ConnectionBroken
	default:
		request.Outcome, request.RetryAfter = classify(value)
		if request.Answered > request.Deadline {
			request.Outcome = history.Late
		}
	}
}

// Pipeline sends several requests at once on one connection and sets the outcome of each. commands holds their encoded
// commands. It waits for answers until lateAnswerWait after the latest deadline.
func Pipeline(conn net.Conn, clock *history.Clock, commands []byte, requests []history.Request) {
	longest := int64(0)
	for i := range requests {
		longest = max(longest, requests[i].Deadline)
	}
	_ = conn.SetDeadline(time.Now().Add(time.Duration(longest-clock.Now()) + lateAnswerWait))
	_, err := conn.Write(commands)
	answers := newAnswerReader(conn)
	for i := range requests {
		var value resp.Value
		if err == nil {
			value, err = answers.next()
		}
		recordOutcome(&requests[i], conn, clock.Now(), value, err)
	}
}

// sinceReceived returns how long ago, in nanoseconds, the kernel received the latest bytes of a connection, and the
// latest segment, with or without bytes. Both are 0 if the kernel does not report it.
func sinceReceived(conn net.Conn) (data, segment int64) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, 0
	}
	var info *unix.TCPInfo
	failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if failed != nil || err != nil {
		return 0, 0
	}
	return int64(info.Last_data_recv) * int64(time.Millisecond), int64(info.Last_ack_recv) * int64(time.Millisecond)
}

// classify returns the outcome that the protocol assigns to an answer, and the Retry-After time of a -BUSY answer in
// nanoseconds, 0 if there is none.
func classify(v resp.Value) (history.Outcome, int64) {
	switch {
	case v.Kind == '$' && !v.Null,
		v.Kind == '*' && len(v.List) > 0 && v.List[0].Kind == '$' && !v.List[0].Null:
		return history.Succeeded, 0
	case v.Kind == '-' && len(v.Text) >= 4 && string(v.Text[:4]) == "BUSY":
		ms, _ := strconv.ParseInt(string(v.Text[min(len(v.Text), 5):]), 10, 64)
		return history.Rejected, ms * int64(time.Millisecond)
	}
	return history.Failed, 0
}
