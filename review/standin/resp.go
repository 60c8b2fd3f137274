package standin

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxBulk is the largest value, as the protocol page has it.
const maxBulk = 64 << 10

var errForm = errors.New("not RESP2")

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", errForm
	}
	return line[:len(line)-2], nil
}

// readBulk reads the rest of a bulk string behind its header line.
func readBulk(in *bufio.Reader, header string) (text string, null bool, err error) {
	if !strings.HasPrefix(header, "$") {
		return "", false, errForm
	}
	n, err := strconv.Atoi(header[1:])
	if err != nil || n > maxBulk || n < -1 {
		return "", false, errForm
	}
	if n == -1 {
		return "", true, nil
	}
	buffer := make([]byte, n+2)
	if _, err := io.ReadFull(in, buffer); err != nil {
		return "", false, err
	}
	return string(buffer[:n]), false, nil
}

// ReadCommand reads an array of bulk strings.
func ReadCommand(in *bufio.Reader) ([]string, error) {
	header, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(header, "*") {
		return nil, errForm
	}
	n, err := strconv.Atoi(header[1:])
	if err != nil || n < 1 || n > 64 {
		return nil, errForm
	}
	words := make([]string, n)
	for i := range words {
		header, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if words[i], _, err = readBulk(in, header); err != nil {
			return nil, err
		}
	}
	return words, nil
}

// AppendCommand appends an array of bulk strings.
func AppendCommand(to []byte, words ...string) []byte {
	to = append(to, '*')
	to = strconv.AppendInt(to, int64(len(words)), 10)
	to = append(to, "\r\n"...)
	for _, word := range words {
		to = append(to, '$')
		to = strconv.AppendInt(to, int64(len(word)), 10)
		to = append(to, "\r\n"...)
		to = append(to, word...)
		to = append(to, "\r\n"...)
	}
	return to
}

// Kind is the meaning of a limiter's answer to a request.
type Kind string

// The meanings.
const (
	Served  Kind = "served"
	Refused Kind = "refused"
	Failed  Kind = "failed"
)

// ReadAnswer reads a limiter's answer: a bulk string, or a line.
func ReadAnswer(in *bufio.Reader) (Kind, string, error) {
	header, err := readLine(in)
	if err != nil {
		return "", "", err
	}
	switch {
	case strings.HasPrefix(header, "$"):
		text, null, err := readBulk(in, header)
		if err == nil && null {
			return Failed, "null", nil
		}
		return Served, text, err
	case header == "-BUSY" || strings.HasPrefix(header, "-BUSY "):
		return Refused, header, nil
	}
	return Failed, header, nil
}

// Field returns the value of a name in a request's list.
func Field(list, name string) string {
	for _, part := range strings.Split(list, ",") {
		if n, value, _ := strings.Cut(part, "="); n == name {
			return value
		}
	}
	return ""
}
